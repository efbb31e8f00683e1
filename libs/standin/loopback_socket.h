/** \file
 * TCP endpoints for tests over loopback: a client that writes arbitrary bytes, and a server whose
 * connections run a script. Both run in the event loop of the thread that created them.
 *
 * \code
 * scripted_server target([](loopback_socket& peer) {
 *     if (peer.received().ends_with("\r\n\r\n")) {
 *         peer.close();
 *     }
 * });
 * auto caller = loopback_socket::dial(node_port);
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

/** Runs the event loop of this thread until \p done returns true; false if \p timeout
 * elapsed first. Creates the QCoreApplication on first use. */
[[nodiscard]] auto wait_until(const std::function<bool()>& done,
                              std::chrono::milliseconds timeout = std::chrono::seconds(60)) -> bool;

/** Runs the event loop of this thread for \p duration. */
void run_events(std::chrono::milliseconds duration);

/** One endpoint of a TCP connection. */
class loopback_socket {
  public:
    using event_hook = std::function<void(loopback_socket& socket)>;

    /** Connects to 127.0.0.1 and \p port. \p on_bytes is called whenever bytes arrived. */
    [[nodiscard]] static auto dial(std::uint16_t port, event_hook on_bytes = {})
        -> std::unique_ptr<loopback_socket>;
    /** Takes ownership of an accepted socket. */
    loopback_socket(std::unique_ptr<QTcpSocket> socket, event_hook on_bytes);
    loopback_socket(const loopback_socket&) = delete;
    auto operator=(const loopback_socket&) -> loopback_socket& = delete;
    loopback_socket(loopback_socket&&) = delete;
    auto operator=(loopback_socket&&) -> loopback_socket& = delete;
    ~loopback_socket();

    void write(std::string_view bytes);
    /** Closes once all written bytes are sent. */
    void close();
    /** Closes at once and discards unsent bytes. */
    void abort();
    /** Shuts down the sending side only. */
    void half_close();
    /** Stops or resumes reading. While paused, the peer is blocked by a full TCP window. */
    void pause_reading(bool paused);

    /** Returns the bytes received since the start or the last clear(). */
    [[nodiscard]] auto received() const -> const std::string& { return received_; }
    void clear() { received_.clear(); }
    /** Only counts received bytes from now on, without storing them. */
    void count_only() { is_counting_only_ = true; }
    [[nodiscard]] auto bytes_received() const -> std::uint64_t { return bytes_received_; }
    /** Returns the number of written bytes that the operating system has not accepted yet. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;
    [[nodiscard]] auto is_connected() const -> bool;
    [[nodiscard]] auto is_closed() const -> bool { return is_closed_; }

  private:
    void on_readable();

    std::unique_ptr<QTcpSocket> socket_;
    event_hook on_bytes_;
    std::string received_;
    std::uint64_t bytes_received_ = 0;
    bool is_counting_only_ = false;
    bool is_paused_ = false;
    bool is_closed_ = false;
};

/** A server on a free port of 127.0.0.1 whose connections all run one script. */
class scripted_server {
  public:
    /** \p script is called whenever bytes arrived on a connection. */
    explicit scripted_server(loopback_socket::event_hook script);
    scripted_server(const scripted_server&) = delete;
    auto operator=(const scripted_server&) -> scripted_server& = delete;
    scripted_server(scripted_server&&) = delete;
    auto operator=(scripted_server&&) -> scripted_server& = delete;
    ~scripted_server();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /** Returns all connections accepted so far, including closed ones. */
    [[nodiscard]] auto connections() const -> const std::vector<std::unique_ptr<loopback_socket>>&
    {
        return connections_;
    }

  private:
    loopback_socket::event_hook script_;
    std::unique_ptr<QTcpServer> server_;
    std::vector<std::unique_ptr<loopback_socket>> connections_;
};

} // namespace sycamorewinch
