/** \file
 * Helpers for the tests of this library: an event loop, and a client that sends raw HTTP over
 * loopback.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>

namespace sycamorewinch::testing {

/** Creates the application object that the event loop needs, unless one exists. */
inline void ensure_event_loop()
{
    static int count = 1;
    static std::string name = "daemon_test";
    static char* arguments[] = {name.data(), nullptr};
    static const auto application = QCoreApplication::instance() == nullptr
                                        ? std::make_unique<QCoreApplication>(count, arguments)
                                        : nullptr;
}

/** Runs the event loop until \p is_done returns true; the time limit of the test ends a hang. */
inline void run_until(const std::function<bool()>& is_done)
{
    while (!is_done()) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
}

/** One TCP connection that sends and receives raw bytes. */
class raw_http_client {
  public:
    explicit raw_http_client(std::uint16_t port)
    {
        socket_.connectToHost(QHostAddress::LocalHost, port);
        run_until([this] { // connected, or closed already
            return socket_.state() == QAbstractSocket::ConnectedState || is_closed();
        });
    }

    void send(const std::string& bytes)
    {
        socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    /** Sends a request and returns the response including its header. */
    auto send_request(const std::string& request) -> std::string
    {
        send(request);
        std::string response;
        run_until([&] {
            response += socket_.readAll().toStdString();
            return is_complete(response) || is_closed();
        });
        return response;
    }

    [[nodiscard]] auto is_closed() const -> bool
    {
        return socket_.state() == QAbstractSocket::UnconnectedState;
    }
    void close() { socket_.abort(); }

  private:
    static auto is_complete(const std::string& response) -> bool
    {
        const std::string name = "content-length: ";
        const auto end = response.find("\r\n\r\n");
        std::string head = response.substr(0, end);
        for (char& character : head) {
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        }
        const auto at = head.find(name);
        return end != std::string::npos && at != std::string::npos &&
               response.size() - end - 4 >= std::stoul(head.substr(at + name.size()));
    }

    QTcpSocket socket_;
};

} // namespace sycamorewinch::testing
