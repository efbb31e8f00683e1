#include "daemon/limited_tcp_server.h"

#include <memory>

#include <QTcpSocket>

#include "base/enum_names.h"
#include "event_loop/deadline_timer.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<admin_drop_reason, admin_drop_reason_count> reason_names{
    {"request_too_large", "too_many_connections", "too_slow"}};

} // namespace

auto name_of(admin_drop_reason reason) -> std::string_view
{
    return reason_names.name(reason);
}

limited_tcp_server::limited_tcp_server(metrics_registry& metrics, admin_limits limits)
    : limits_(limits), connection_gauge_(metrics.gauge("sycamorewinch_admin_connections",
                                                       "Open connections to the admin address."))
{
    for (std::size_t index = 0; index < dropped_.size(); ++index) {
        const auto name = name_of(static_cast<admin_drop_reason>(index));
        dropped_.at(index) = &metrics.count("sycamorewinch_admin_dropped_total",
                                            "Connections to the admin address closed, by reason.",
                                            {{"reason", name}});
    }
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
    if (connection_count_ >= limits_.max_connections_) {
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
    connect(&socket, &QTcpSocket::readyRead, &socket, [this, &socket, received] {
        *received += socket.bytesAvailable();
        if (*received > limits_.max_request_bytes_) {
            drop(socket, admin_drop_reason::request_too_large);
        }
    });
    connect(&socket, &QTcpSocket::bytesWritten, &socket, [this, timer, received] {
        *received = 0; // a response was sent: the next request begins
        timer->start(limits_.request_timeout_);
    });
    connect(&socket, &QTcpSocket::disconnected, this,
            [this] { connection_gauge_.set(static_cast<std::uint64_t>(--connection_count_)); });
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
