/** \file
 * Blocking HTTP/1.1 over loopback sockets, as the stand-ins of the review need it.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/** An IPv4 address and a port. */
struct address {
    std::string host_;
    std::uint16_t port_ = 0;

    [[nodiscard]] auto text() const -> std::string { return host_ + ":" + std::to_string(port_); }
};

using header_fields = std::vector<std::pair<std::string, std::string>>;

/** Returns the first field \p name, in any letter case; empty if there is none. */
[[nodiscard]] auto field(const header_fields& fields, std::string_view name) -> std::string;

/** A request as read by a server, or to be sent. */
struct request {
    std::string method_ = "GET";
    std::string path_ = "/";
    header_fields fields_;
    std::string body_;
};

/** How an exchange ended. */
enum class ending : std::uint8_t {
    complete,
    not_connected,
    closed_without_answer,
    broken_off, ///< The answer began and did not end.
    timed_out,
};

[[nodiscard]] auto name_of(ending how) -> const char*;

/** A response as a client sees it. */
struct response {
    ending ending_ = ending::not_connected;
    int status_ = 0;
    header_fields fields_;
    std::string body_;
    milliseconds elapsed_{0};

    [[nodiscard]] auto is_complete() const -> bool { return ending_ == ending::complete; }
};

/** A socket, closed at the end of its scope. */
class connection {
  public:
    connection() = default;
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;
    connection(connection&& other) noexcept { *this = std::move(other); }
    auto operator=(connection&& other) noexcept -> connection&;
    ~connection() { close(); }

    /** Connects within one second. \p receive_buffer: size of the receive buffer; zero: default. */
    [[nodiscard]] static auto dial(const address& to, int receive_buffer = 0) -> connection;

    [[nodiscard]] auto is_open() const -> bool { return descriptor_ >= 0; }
    [[nodiscard]] auto descriptor() const -> int { return descriptor_; }
    void close();
    /** Closes with a reset. */
    void reset();

    /** Writes all of \p bytes; returns false if the peer closed or \p deadline passed. */
    auto write(std::string_view bytes, clock::time_point deadline) -> bool;

    /** What wait_readable() and fill() found. */
    enum class readiness : std::uint8_t { bytes, closed, timeout };
    /** Reads what has arrived, or waits for it, into buffered(). */
    auto fill(clock::time_point deadline) -> readiness;
    [[nodiscard]] auto buffered() -> std::string& { return buffer_; }

    /** Waits until \p deadline; returns true at once if the peer has closed. */
    [[nodiscard]] auto closes_before(clock::time_point deadline) -> bool;

  private:
    int descriptor_ = -1;
    std::string buffer_;
};

/** Sends \p what on \p to and reads the answer. */
[[nodiscard]] auto exchange(connection& to, const request& what, clock::time_point deadline)
    -> response;

/** The same on a new connection. */
[[nodiscard]] auto exchange(const address& to, const request& what, milliseconds patience)
    -> response;

/** Returns the bytes of \p what up to the end of its head. */
[[nodiscard]] auto head_of(const request& what) -> std::string;

/** Reads a request; nothing if the peer closed before its end. */
[[nodiscard]] auto read_request(connection& from, clock::time_point deadline)
    -> std::optional<request>;

} // namespace review
