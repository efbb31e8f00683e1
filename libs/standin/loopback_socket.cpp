#include "standin/loopback_socket.h"

#include <sys/socket.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;

/** Creates the QCoreApplication, which Qt's event loops need, if there is none. */
void ensure_application()
{
    if (QCoreApplication::instance() != nullptr) {
        return;
    }
    static int count = 1;
    static std::string name = "sycamorewinch_test";
    static char* arguments = name.data();
    static QCoreApplication application(count, &arguments);
}

} // namespace

auto wait_until(const std::function<bool()>& done, std::chrono::milliseconds timeout) -> bool
{
    ensure_application();
    QElapsedTimer elapsed_timer;
    elapsed_timer.start();
    QTimer wake_timer; // checks the condition even if no event arrives in this thread
    wake_timer.start(std::chrono::milliseconds(1));
    while (!done()) {
        if (elapsed_timer.elapsed() > timeout.count()) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

void run_events(std::chrono::milliseconds duration)
{
    QElapsedTimer elapsed_timer;
    elapsed_timer.start();
    (void)wait_until([&] { return elapsed_timer.elapsed() >= duration.count(); });
}

auto loopback_socket::dial(std::uint16_t port, event_hook on_bytes)
    -> std::unique_ptr<loopback_socket>
{
    ensure_application();
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress(QHostAddress::LocalHost), port);
    return std::make_unique<loopback_socket>(std::move(socket), std::move(on_bytes));
}

loopback_socket::loopback_socket(std::unique_ptr<QTcpSocket> socket, event_hook on_bytes)
    : socket_(std::move(socket)), on_bytes_(std::move(on_bytes))
{
    auto* raw = socket_.get();
    raw->setReadBufferSize(read_buffer_bytes);
    QObject::connect(raw, &QTcpSocket::readyRead, raw, [this] { on_readable(); });
    QObject::connect(raw, &QTcpSocket::disconnected, raw, [this] { is_closed_ = true; });
    QObject::connect(raw, &QTcpSocket::errorOccurred, raw, [this] { is_closed_ = true; });
}

loopback_socket::~loopback_socket()
{
    socket_->disconnect();
    socket_.release()->deleteLater();
}

void loopback_socket::on_readable()
{
    if (is_paused_) {
        return;
    }
    const auto bytes = socket_->readAll();
    bytes_received_ += static_cast<std::uint64_t>(bytes.size());
    if (!is_counting_only_) {
        received_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    }
    if (on_bytes_) {
        on_bytes_(*this);
    }
}

void loopback_socket::write(std::string_view bytes)
{
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void loopback_socket::close()
{
    socket_->disconnectFromHost();
}

void loopback_socket::abort()
{
    socket_->abort();
    is_closed_ = true;
}

void loopback_socket::half_close()
{
    socket_->flush();
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
}

void loopback_socket::pause_reading(bool paused)
{
    is_paused_ = paused;
    if (!paused) {
        QTimer::singleShot(0, socket_.get(), [this] { on_readable(); });
    }
}

auto loopback_socket::queued_bytes() const -> std::size_t
{
    return static_cast<std::size_t>(socket_->bytesToWrite());
}

auto loopback_socket::is_connected() const -> bool
{
    return socket_->state() == QAbstractSocket::ConnectedState;
}

scripted_server::scripted_server(loopback_socket::event_hook script) : script_(std::move(script))
{
    ensure_application();
    server_ = std::make_unique<QTcpServer>();
    server_->listen(QHostAddress(QHostAddress::LocalHost));
    QObject::connect(server_.get(), &QTcpServer::newConnection, server_.get(), [this] {
        while (auto* socket = server_->nextPendingConnection()) {
            socket->setParent(nullptr);
            connections_.push_back(
                std::make_unique<loopback_socket>(std::unique_ptr<QTcpSocket>(socket), script_));
        }
    });
}

scripted_server::~scripted_server() = default;

auto scripted_server::port() const -> std::uint16_t
{
    return server_->serverPort();
}

} // namespace sycamorewinch
