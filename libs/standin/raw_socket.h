/** \file
 * Plain TCP ends for tests over loopback: a caller that writes bytes of its own choosing, and a
 * server that answers by a script. Both live in the event loop of the thread that made them.
 *
 * \code
 * raw_server target([](raw_socket& peer) {
 *     if (peer.received().ends_with("\r\n\r\n")) {
 *         peer.close();
 *     }
 * });
 * auto caller = raw_socket::dial(node_port);
 * caller->write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
 * BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
 * \endcode
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

class QTcpServer;
class QTcpSocket;

namespace sycamorewinch {

/** Runs the event loop of this thread until \p done returns true; false when \p watchdog passed
 * first. Makes the application object on first use. */
[[nodiscard]] auto wait_until(const std::function<bool()>& done,
                              std::chrono::milliseconds watchdog = std::chrono::seconds(60))
    -> bool;

/** Runs the event loop of this thread for \p span. */
void run_events(std::chrono::milliseconds span);

/** One end of a TCP connection. */
class raw_socket {
  public:
    using event_hook = std::function<void(raw_socket& socket)>;

    /** Connects to 127.0.0.1 and \p port. \p on_bytes is called after each arrival. */
    [[nodiscard]] static auto dial(std::uint16_t port, event_hook on_bytes = {})
        -> std::unique_ptr<raw_socket>;
    /** Takes an accepted socket over. */
    raw_socket(std::unique_ptr<QTcpSocket> socket, event_hook on_bytes);
    raw_socket(const raw_socket&) = delete;
    auto operator=(const raw_socket&) -> raw_socket& = delete;
    raw_socket(raw_socket&&) = delete;
    auto operator=(raw_socket&&) -> raw_socket& = delete;
    ~raw_socket();

    void write(std::string_view bytes);
    /** Closes after what was written is sent. */
    void close();
    /** Closes at once. */
    void abort();
    /** Ends the sending side only. */
    void half_close();
    /** Stops or resumes reading, so that the other end meets a full window. */
    void pause_reading(bool paused);

    /** What arrived so far, or since the last clear(). */
    [[nodiscard]] auto received() const -> const std::string& { return received_; }
    void clear() { received_.clear(); }
    /** Counts bytes instead of keeping them. */
    void count_only() { count_only_ = true; }
    [[nodiscard]] auto bytes_received() const -> std::uint64_t { return bytes_received_; }
    /** Returns the bytes written that the operating system has not taken. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;
    [[nodiscard]] auto is_closed() const -> bool { return closed_; }

  private:
    void on_readable();

    std::unique_ptr<QTcpSocket> socket_;
    event_hook on_bytes_;
    std::string received_;
    std::uint64_t bytes_received_ = 0;
    bool count_only_ = false;
    bool paused_ = false;
    bool closed_ = false;
};

/** A listening socket on 127.0.0.1 whose connections all follow one script. */
class raw_server {
  public:
    /** \p script is called after each arrival on any connection. */
    explicit raw_server(raw_socket::event_hook script);
    raw_server(const raw_server&) = delete;
    auto operator=(const raw_server&) -> raw_server& = delete;
    raw_server(raw_server&&) = delete;
    auto operator=(raw_server&&) -> raw_server& = delete;
    ~raw_server();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /** Every connection accepted so far, the closed ones included. */
    [[nodiscard]] auto connections() const -> const std::vector<std::unique_ptr<raw_socket>>&
    {
        return connections_;
    }

  private:
    raw_socket::event_hook script_;
    std::unique_ptr<QTcpServer> server_;
    std::vector<std::unique_ptr<raw_socket>> connections_;
};

} // namespace sycamorewinch
