#include "soak/fault_proxy.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

namespace sycamorewinch {

namespace {

/** Much longer than a round trip on loopback, shorter than every timeout of the system. */
constexpr std::chrono::milliseconds forwarding_delay{150};
/** Unread bytes stay in the kernel, so that the sender is blocked by a full TCP window. */
constexpr qint64 read_buffer_bytes = 64 * 1024;

void abort_with_reset(QTcpSocket& socket)
{
    socket.setSocketOption(QAbstractSocket::KeepAliveOption, 0);
    socket.disconnect();
    socket.abort();
}

} // namespace

/** An accepted connection and the matching connection to the target. */
struct fault_proxy::connection_pair {
    std::unique_ptr<QTcpSocket> caller_;
    std::unique_ptr<QTcpSocket> target_;
    bool is_forgotten_ = false; ///< Was open when a `forgotten` fault began; forwards nothing.
};

fault_proxy::fault_proxy(const peer_address& target)
    : target_(target), server_(std::make_unique<QTcpServer>())
{
    QObject::connect(server_.get(), &QTcpServer::newConnection, server_.get(),
                     [this] { accept(); });
}

fault_proxy::~fault_proxy()
{
    for (const auto& pair : std::list(connections_)) {
        close(pair);
    }
}

auto fault_proxy::start(const peer_address& listen, const peer_address& target)
    -> result<std::unique_ptr<fault_proxy>>
{
    std::unique_ptr<fault_proxy> proxy(new fault_proxy(target));
    if (!proxy->server_->listen(QHostAddress(QString::fromStdString(listen.host_)), listen.port_)) {
        return failure(error_kind::unavailable, proxy->server_->errorString().toStdString());
    }
    return proxy;
}

auto fault_proxy::port() const -> std::uint16_t
{
    return server_->serverPort();
}

void fault_proxy::set_fault(link_fault fault)
{
    fault_ = fault;
    for (const auto& pair : std::list(connections_)) {
        pair->is_forgotten_ = pair->is_forgotten_ || fault == link_fault::forgotten;
        if (fault == link_fault::reset) {
            close(pair);
        }
        else {
            forward(pair);
        }
    }
}

void fault_proxy::accept()
{
    while (auto* socket = server_->nextPendingConnection()) {
        socket->setParent(nullptr);
        auto pair = std::make_shared<fault_proxy::connection_pair>();
        pair->caller_.reset(socket);
        if (fault_ == link_fault::reset) {
            abort_with_reset(*socket);
            continue;
        }
        pair->target_ = std::make_unique<QTcpSocket>();
        for (auto* endpoint : {pair->caller_.get(), pair->target_.get()}) {
            endpoint->setReadBufferSize(read_buffer_bytes);
            endpoint->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            const std::weak_ptr weak = pair;
            const auto on_progress = [this, weak] {
                if (const auto locked_pair = weak.lock()) {
                    forward(locked_pair);
                }
            };
            const auto on_closed = [this, weak] {
                if (const auto locked_pair = weak.lock()) {
                    forward(locked_pair);
                    close(locked_pair);
                }
            };
            QObject::connect(endpoint, &QTcpSocket::connected, endpoint, on_progress);
            QObject::connect(endpoint, &QTcpSocket::readyRead, endpoint, on_progress);
            QObject::connect(endpoint, &QTcpSocket::bytesWritten, endpoint, on_progress);
            QObject::connect(endpoint, &QTcpSocket::disconnected, server_.get(), on_closed,
                             Qt::QueuedConnection);
            QObject::connect(endpoint, &QTcpSocket::errorOccurred, server_.get(), on_closed,
                             Qt::QueuedConnection);
        }
        pair->target_->connectToHost(QHostAddress(QString::fromStdString(target_.host_)),
                                     target_.port_);
        connections_.push_back(std::move(pair));
    }
}

auto fault_proxy::is_forwarding(bool target, const connection_pair& pair) const -> bool
{
    const auto one_way_fault = target ? link_fault::silent_to : link_fault::silent_from;
    return !pair.is_forgotten_ && fault_ != link_fault::silent && fault_ != one_way_fault;
}

void fault_proxy::forward(const std::shared_ptr<connection_pair>& pair)
{
    const auto forward_bytes = [this, &pair](QTcpSocket& from, QTcpSocket& to, bool target) {
        if (!is_forwarding(target, *pair) || to.state() != QAbstractSocket::ConnectedState ||
            to.bytesToWrite() > read_buffer_bytes) {
            return;
        }
        const auto bytes = from.readAll();
        if (bytes.isEmpty()) {
            return;
        }
        if (fault_ != link_fault::delayed) {
            to.write(bytes);
            return;
        }
        QTimer::singleShot(forwarding_delay, &to, [&to, bytes] { to.write(bytes); });
    };
    forward_bytes(*pair->caller_, *pair->target_, true);
    forward_bytes(*pair->target_, *pair->caller_, false);
}

void fault_proxy::close(const std::shared_ptr<connection_pair>& pair)
{
    connections_.remove(pair);
    for (auto* socket : {pair->caller_.get(), pair->target_.get()}) {
        socket->disconnect();
        if (fault_ == link_fault::reset) {
            abort_with_reset(*socket);
        }
        else {
            socket->disconnectFromHost(); // closes once all written bytes are sent
        }
    }
    pair->caller_.release()->deleteLater();
    pair->target_.release()->deleteLater();
}

} // namespace sycamorewinch
