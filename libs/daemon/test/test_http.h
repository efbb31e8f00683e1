/** \file
 * For the tests of this library: an event loop, and a caller that speaks raw HTTP over loopback.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>

namespace sycamorewinch::testing {

/** Makes sure that an application object, and so an event loop, exists. */
inline void need_event_loop()
{
    static int count = 1;
    static std::string name = "daemon_test";
    static char* arguments[] = {name.data(), nullptr};
    static const auto application = QCoreApplication::instance() == nullptr
                                        ? std::make_unique<QCoreApplication>(count, arguments)
                                        : nullptr;
}

/** Runs the event loop until \p is_done; a test that hangs is ended by its time limit. */
inline void run_until(const std::function<bool()>& is_done)
{
    while (!is_done()) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
}

/** One raw connection. */
class raw_caller {
  public:
    explicit raw_caller(std::uint16_t port)
    {
        socket_.connectToHost(QHostAddress::LocalHost, port);
        run_until([this] { // connected, or already closed again
            return socket_.state() == QAbstractSocket::ConnectedState || is_closed();
        });
    }

    void send(const std::string& bytes)
    {
        socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    /** Sends a request and returns the answer, its head included. */
    auto ask(const std::string& request) -> std::string
    {
        send(request);
        std::string answer;
        run_until([&] {
            answer += socket_.readAll().toStdString();
            return is_whole(answer) || is_closed();
        });
        return answer;
    }

    [[nodiscard]] auto is_closed() const -> bool
    {
        return socket_.state() == QAbstractSocket::UnconnectedState;
    }
    void close() { socket_.abort(); }

  private:
    static auto is_whole(const std::string& answer) -> bool
    {
        const std::string name = "content-length: ";
        const auto end = answer.find("\r\n\r\n");
        std::string head = answer.substr(0, end);
        for (char& letter : head) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        const auto at = head.find(name);
        return end != std::string::npos && at != std::string::npos &&
               answer.size() - end - 4 >= std::stoul(head.substr(at + name.size()));
    }

    QTcpSocket socket_;
};

} // namespace sycamorewinch::testing
