/** \file
 * An HTTP/1.1 client connection to a target. It carries one request at a time and never retries a
 * request by itself.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/http1_parser.h"

namespace sycamorewinch {

/** How an exchange (a request and its response) with a target failed. */
enum class exchange_failure : std::uint8_t {
    not_sent,        ///< No byte of the request was passed to the socket.
    connection_lost, ///< The connection was lost before any byte of the response, but after all
                     ///< or part of the request was sent.
    truncated,       ///< The response ended, or stalled, before it was complete.
    malformed,       ///< The response is not valid HTTP.
};

/** Timeouts of a connection to a target. */
struct http1_client_limits {
    std::chrono::milliseconds connect_timeout_{3'000}; ///< For the TCP connect.
    /** Longest gap between two reads of a response that has begun. Does not count while reading is
     * paused. */
    std::chrono::milliseconds stall_timeout_{10'000};
    /** An exchange that is cancelled after at least this long without any response byte counts as
     * silent; see set_silent_hook(). */
    std::chrono::milliseconds silent_after_{1'000};
    resource_guard* guard_ = nullptr; ///< Of the event loop; null: what is held is not counted.
};

/** Callbacks of one exchange. on_end_ or on_failed_ is the last one called. */
struct client_exchange_hooks {
    std::function<void(message_head head)> on_response_;
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_end_;
    std::function<void(exchange_failure failure)> on_failed_;
    std::function<void()> on_writable_;
};

/** One HTTP/1.1 client connection. Runs in the event loop of the thread that created it. */
class http1_client_connection : public std::enable_shared_from_this<http1_client_connection> {
  public:
    /** Starts connecting to an IP address and port. Requests may be started at once. */
    [[nodiscard]] static auto dial(const std::string& host, std::uint16_t port,
                                   http1_client_limits limits = {})
        -> std::shared_ptr<http1_client_connection>;
    http1_client_connection(const http1_client_connection&) = delete;
    auto operator=(const http1_client_connection&) -> http1_client_connection& = delete;
    http1_client_connection(http1_client_connection&&) = delete;
    auto operator=(http1_client_connection&&) -> http1_client_connection& = delete;
    ~http1_client_connection();

    /** Starts an exchange; none may be in progress. If \p head has has_body_ set, the body follows
     * through write() and finish(). */
    void start(message_head head, client_exchange_hooks hooks);
    /** Sends part of the request body. */
    void write(std::string_view bytes);
    /** Ends the request body. */
    void finish();
    /** Abandons the exchange and closes the connection, which cancels the request at the target.
     * No further callback is made. */
    void cancel();
    /** Sets the hook that is called when an exchange is cancelled before any response byte, after
     * at least silent_after_. A middlebox may then have dropped its state for this connection, and
     * for others to the same target. */
    void set_silent_hook(std::function<void()> hook);
    /** Stops or resumes reading the response. */
    void pause_reading(bool paused);

    /** Returns the bytes written that the operating system has not accepted yet. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;
    /** Returns whether a byte of the current request was passed to the operating system. Until the
     * connection is established, cancel() thus ends a request that the target never sees. */
    [[nodiscard]] auto has_sent_bytes() const -> bool;
    /** Returns whether another exchange may be started on this connection. */
    [[nodiscard]] auto is_reusable() const -> bool;
    /** Returns whether an earlier exchange has ended on this connection. */
    [[nodiscard]] auto is_reused() const -> bool;
    /** Returns how long the target keeps an idle connection (Keep-Alive header), if it said so. */
    [[nodiscard]] auto keep_alive_time() const -> std::optional<std::chrono::seconds>;
    /** Returns the time since the last exchange ended or, during an exchange, since it began. */
    [[nodiscard]] auto idle_time() const -> std::chrono::milliseconds;

  private:
    http1_client_connection();
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
