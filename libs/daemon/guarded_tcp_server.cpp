#include "daemon/guarded_tcp_server.h"

#include <memory>

#include <QTcpSocket>
#include <QTimer>

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<admin_drop_reason, admin_drop_reason_count> reason_names{
    {"request_too_large", "too_many_connections", "too_slow"}};

} // namespace

auto name_of(admin_drop_reason reason) -> std::string_view
{
    return reason_names.name(reason);
}

guarded_tcp_server::guarded_tcp_server(metrics_registry& metrics, admin_limits limits)
    : limits_(limits), open_(metrics.gauge("sycamorewinch_admin_connections",
                                           "Connections open to the admin address."))
{
    for (std::size_t index = 0; index < dropped_.size(); ++index) {
        const auto name = name_of(static_cast<admin_drop_reason>(index));
        dropped_.at(index) = &metrics.count("sycamorewinch_admin_dropped_total",
                                            "Connections to the admin address closed, by reason.",
                                            {{"reason", name}});
    }
}

void guarded_tcp_server::count(admin_drop_reason reason)
{
    dropped_.at(static_cast<std::size_t>(reason))->add();
}

void guarded_tcp_server::incomingConnection(qintptr descriptor)
{
    auto socket = std::make_unique<QTcpSocket>();
    if (!socket->setSocketDescriptor(descriptor)) {
        return;
    }
    if (open_count_ >= limits_.connections_) {
        count(admin_drop_reason::too_many_connections);
        socket->abort();
        return;
    }
    socket->setParent(this);
    watch(*socket);
    addPendingConnection(socket.release());
}

// Connected before the HTTP server connects its own slots, so this sees the bytes of each arrival
// before they are read. The socket's own read buffer must stay unbounded: Qt's server reads within
// a transaction, which keeps the bytes of the whole request there.
void guarded_tcp_server::watch(QTcpSocket& socket)
{
    open_.set(static_cast<std::uint64_t>(++open_count_));
    auto* timer = new QTimer(&socket);
    timer->setSingleShot(true);
    const auto received = std::make_shared<qint64>(0);
    connect(timer, &QTimer::timeout, &socket,
            [this, &socket] { drop(socket, admin_drop_reason::too_slow); });
    connect(&socket, &QTcpSocket::readyRead, &socket, [this, &socket, received] {
        *received += socket.bytesAvailable();
        if (*received > limits_.request_bytes_) {
            drop(socket, admin_drop_reason::request_too_large);
        }
    });
    connect(&socket, &QTcpSocket::bytesWritten, &socket, [this, timer, received] {
        *received = 0; // an answer: the next request starts
        timer->start(limits_.request_time_);
    });
    connect(&socket, &QTcpSocket::disconnected, this,
            [this] { open_.set(static_cast<std::uint64_t>(--open_count_)); });
    timer->start(limits_.request_time_);
}

void guarded_tcp_server::drop(QTcpSocket& socket, admin_drop_reason reason)
{
    if (socket.property("dropped").toBool()) {
        return;
    }
    socket.setProperty("dropped", true);
    count(reason);
    // Later, since the HTTP server's own slot for these bytes still runs.
    QMetaObject::invokeMethod(
        &socket, [&socket] { socket.abort(); }, Qt::QueuedConnection);
}

} // namespace sycamorewinch
