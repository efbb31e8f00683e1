#include "soak/fault_proxy.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

namespace sycamorewinch {

namespace {

/** Long against round trips on loopback, short against every timeout of the system. */
constexpr std::chrono::milliseconds delay{150};
/** What is not read stays in the kernel, so that its writer meets a full window. */
constexpr qint64 read_buffer_bytes = 64 * 1024;

void abort_with_reset(QTcpSocket& socket)
{
    socket.setSocketOption(QAbstractSocket::KeepAliveOption, 0);
    socket.disconnect();
    socket.abort();
}

} // namespace

/** One accepted connection and the one made for it. */
struct fault_proxy::passage {
    std::unique_ptr<QTcpSocket> caller_;
    std::unique_ptr<QTcpSocket> target_;
    bool is_forgotten_ = false;
};

fault_proxy::fault_proxy(const peer_address& target)
    : target_(target), server_(std::make_unique<QTcpServer>())
{
    QObject::connect(server_.get(), &QTcpServer::newConnection, server_.get(),
                     [this] { accept(); });
}

fault_proxy::~fault_proxy()
{
    for (const auto& passage : std::list(passages_)) {
        end(passage);
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
    for (const auto& passage : std::list(passages_)) {
        passage->is_forgotten_ = passage->is_forgotten_ || fault == link_fault::forgotten;
        if (fault == link_fault::reset) {
            end(passage);
        }
        else {
            pump(passage);
        }
    }
}

void fault_proxy::accept()
{
    while (auto* socket = server_->nextPendingConnection()) {
        socket->setParent(nullptr);
        auto passage = std::make_shared<fault_proxy::passage>();
        passage->caller_.reset(socket);
        if (fault_ == link_fault::reset) {
            abort_with_reset(*socket);
            continue;
        }
        passage->target_ = std::make_unique<QTcpSocket>();
        for (auto* end_of_passage : {passage->caller_.get(), passage->target_.get()}) {
            end_of_passage->setReadBufferSize(read_buffer_bytes);
            end_of_passage->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            const std::weak_ptr weak = passage;
            const auto on_moved = [this, weak] {
                if (const auto alive = weak.lock()) {
                    pump(alive);
                }
            };
            const auto on_ended = [this, weak] {
                if (const auto alive = weak.lock()) {
                    pump(alive);
                    end(alive);
                }
            };
            QObject::connect(end_of_passage, &QTcpSocket::readyRead, end_of_passage, on_moved);
            QObject::connect(end_of_passage, &QTcpSocket::bytesWritten, end_of_passage, on_moved);
            QObject::connect(end_of_passage, &QTcpSocket::disconnected, server_.get(), on_ended,
                             Qt::QueuedConnection);
            QObject::connect(end_of_passage, &QTcpSocket::errorOccurred, server_.get(), on_ended,
                             Qt::QueuedConnection);
        }
        passage->target_->connectToHost(QHostAddress(QString::fromStdString(target_.host_)),
                                        target_.port_);
        passages_.push_back(std::move(passage));
    }
}

auto fault_proxy::is_open_towards(bool target, const passage& passage) const -> bool
{
    const auto shut = target ? link_fault::silent_to : link_fault::silent_from;
    return !passage.is_forgotten_ && fault_ != link_fault::silent && fault_ != shut;
}

void fault_proxy::pump(const std::shared_ptr<passage>& passage)
{
    const auto move = [this, &passage](QTcpSocket& from, QTcpSocket& to, bool target) {
        if (!is_open_towards(target, *passage) || to.state() != QAbstractSocket::ConnectedState ||
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
        QTimer::singleShot(delay, &to, [&to, bytes] { to.write(bytes); });
    };
    move(*passage->caller_, *passage->target_, true);
    move(*passage->target_, *passage->caller_, false);
}

void fault_proxy::end(const std::shared_ptr<passage>& passage)
{
    passages_.remove(passage);
    for (auto* socket : {passage->caller_.get(), passage->target_.get()}) {
        socket->disconnect();
        if (fault_ == link_fault::reset) {
            abort_with_reset(*socket);
        }
        else {
            socket->disconnectFromHost(); // after what was written is sent
        }
    }
    passage->caller_.release()->deleteLater();
    passage->target_.release()->deleteLater();
}

} // namespace sycamorewinch
