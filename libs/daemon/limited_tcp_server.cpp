#include "daemon/limited_tcp_server.h"

#include <limits>
#include <memory>

#include <QTcpSocket>

#include "base/enum_names.h"
#include "event_loop/deadline_timer.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<admin_drop_reason, admin_drop_reason_count> reason_names{
    {"request_too_large", "too_many_connections", "too_slow", "memory"}};

/** The account of a server that has none of its process: without a limit. */
auto make_own_account(const admin_limits& limits, metrics_registry& metrics)
    -> std::unique_ptr<memory_account>
{
    constexpr auto unlimited = std::numeric_limits<std::uint64_t>::max() / 2;
    return limits.account_ != nullptr
               ? nullptr
               : std::make_unique<memory_account>(memory_limits{unlimited, unlimited}, metrics);
}

/** What the guard knows of one connection. */
struct admin_client {
    /** Calls \p on_reclaim after what the connection holds is no longer counted. */
    admin_client(resource_guard& guard, std::function<void(reclaim_reason reason)> on_reclaim)
        : charge_(&guard), client_(&guard, client_kind::connection,
                                   [this, on_reclaim = std::move(on_reclaim)](auto reason) {
                                       charge_.set(0);
                                       client_.leave();
                                       on_reclaim(reason);
                                   })
    {
    }

    memory_charge charge_;
    guarded_client client_;
};

} // namespace

auto name_of(admin_drop_reason reason) -> std::string_view
{
    return reason_names.name(reason);
}

limited_tcp_server::limited_tcp_server(metrics_registry& metrics, admin_limits limits)
    : limits_(limits), own_account_(make_own_account(limits, metrics)),
      guard_(own_account_ ? *own_account_ : *limits.account_, memory_use::interfaces,
             limits.max_connections_, "admin"),
      connection_gauge_(metrics.gauge("sycamorewinch_admin_connections",
                                      "Open connections to the admin address."))
{
    for (std::size_t index = 0; index < dropped_.size(); ++index) {
        const auto name = name_of(static_cast<admin_drop_reason>(index));
        dropped_.at(index) = &metrics.count("sycamorewinch_admin_dropped_total",
                                            "Connections to the admin address closed, by reason.",
                                            {{"reason", name}});
    }
}

limited_tcp_server::~limited_tcp_server()
{
    qDeleteAll(findChildren<QTcpSocket*>(QString(), Qt::FindDirectChildrenOnly));
}

void limited_tcp_server::count(admin_drop_reason reason)
{
    dropped_.at(static_cast<std::size_t>(reason))->add();
}

void limited_tcp_server::incomingConnection(qintptr descriptor)
{
    auto socket = std::make_unique<QTcpSocket>();
    if (!socket->setSocketDescriptor(descriptor)) {
        return;
    }
    if (!guard_.admit_connection()) {
        count(admin_drop_reason::too_many_connections);
        socket->abort();
        return;
    }
    socket->setParent(this);
    watch(*socket);
    addPendingConnection(socket.release());
}

// Connects its slots before the HTTP server does, so that it sees arriving bytes before they are
// read. The socket's read buffer must stay unlimited: QHttpServer reads within a transaction, which
// keeps the whole request in that buffer.
void limited_tcp_server::watch(QTcpSocket& socket)
{
    connection_gauge_.set(static_cast<std::uint64_t>(++connection_count_));
    const auto timer = std::make_shared<deadline_timer>(
        [this, &socket] { drop(socket, admin_drop_reason::too_slow); });
    const auto received = std::make_shared<qint64>(0);
    const auto client = std::make_shared<admin_client>(guard_, [this, &socket](auto reason) {
        drop(socket, reason == reclaim_reason::connections ? admin_drop_reason::too_many_connections
                                                           : admin_drop_reason::memory);
    });
    connect(&socket, &QTcpSocket::readyRead, &socket, [this, &socket, received, client] {
        *received += socket.bytesAvailable();
        client->charge_.set(static_cast<std::uint64_t>(*received));
        client->client_.set_stage(client_stage::sending, true);
        if (*received > limits_.max_request_bytes_) {
            drop(socket, admin_drop_reason::request_too_large);
        }
        else if (!guard_.make_room(0, &client->client_)) {
            client->client_.reclaim(reclaim_reason::memory);
        }
    });
    connect(&socket, &QTcpSocket::bytesWritten, &socket, [this, timer, received, client] {
        *received = 0; // a response was sent: the next request begins
        client->charge_.set(0);
        client->client_.set_stage(client_stage::idle, true);
        timer->start(limits_.request_timeout_);
    });
    connect(&socket, &QTcpSocket::disconnected, this, [this, client] {
        client->charge_.set(0);
        client->client_.leave();
        connection_gauge_.set(static_cast<std::uint64_t>(--connection_count_));
    });
    timer->start(limits_.request_timeout_);
}

void limited_tcp_server::drop(QTcpSocket& socket, admin_drop_reason reason)
{
    if (socket.property("dropped").toBool()) {
        return;
    }
    socket.setProperty("dropped", true);
    count(reason);
    // Deferred, because the HTTP server's own slot for these bytes still has to run.
    QMetaObject::invokeMethod(
        &socket, [&socket] { socket.abort(); }, Qt::QueuedConnection);
}

} // namespace sycamorewinch
