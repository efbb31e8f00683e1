/** \file
 * A connection to a target: one request at a time, sent once and never by itself again.
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

/** How an exchange with a target failed. */
enum class exchange_failure : std::uint8_t {
    not_sent,  ///< No byte of the request was handed to the network.
    broken,    ///< The connection broke after the request, or a part of it, was sent.
    cut_short, ///< The answer ended before its length.
    malformed, ///< The answer is no HTTP.
};

/** Timers of a connection to a target. */
struct http1_client_limits {
    std::chrono::milliseconds connect_timeout_{3'000}; ///< To connect.
    /** An answer that has begun, and whose reader is ready, may pause this long. */
    std::chrono::milliseconds stall_timeout_{10'000};
    /** An exchange given up after this long without one byte of an answer counts as silent. */
    std::chrono::milliseconds silent_after_{1'000};
};

/** What happens in one exchange. After on_end_ or on_failed_ nothing follows. */
struct client_exchange_hooks {
    std::function<void(message_head head)> on_response_;
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_end_;
    std::function<void(exchange_failure failure)> on_failed_;
    std::function<void()> on_writable_;
};

/** One HTTP/1.1 client connection, in one thread's event loop. */
class http1_client_connection : public std::enable_shared_from_this<http1_client_connection> {
  public:
    /** Starts connecting to an IP number and port. */
    [[nodiscard]] static auto dial(const std::string& host, std::uint16_t port,
                                   http1_client_limits limits = {})
        -> std::shared_ptr<http1_client_connection>;
    http1_client_connection(const http1_client_connection&) = delete;
    auto operator=(const http1_client_connection&) -> http1_client_connection& = delete;
    http1_client_connection(http1_client_connection&&) = delete;
    auto operator=(http1_client_connection&&) -> http1_client_connection& = delete;
    ~http1_client_connection();

    /** Starts an exchange. The head's body follows by write() if has_body_ is set. */
    void start(message_head head, client_exchange_hooks hooks);
    /** Sends a part of the request's body. */
    void write(std::string_view bytes);
    /** Ends the request's body. */
    void finish();
    /** Gives the exchange up and closes the connection, which cancels it at the target. */
    void cancel();
    /** \p on_silent is called when an exchange is given up and nothing of its answer had come:
     * something between the two ends may have lost track of the connection, and of others. */
    void on_silent(std::function<void()> on_silent);
    /** Stops or resumes reading the answer. */
    void pause_reading(bool paused);

    [[nodiscard]] auto queued_bytes() const -> std::size_t;
    /** Returns whether another exchange may be started here. */
    [[nodiscard]] auto is_reusable() const -> bool;
    /** Returns how long the target keeps an idle connection, as far as it said. */
    [[nodiscard]] auto keep_alive_time() const -> std::optional<std::chrono::seconds>;
    /** Returns how long the connection has been without an exchange, or in the current one. */
    [[nodiscard]] auto idle_time() const -> std::chrono::milliseconds;

  private:
    http1_client_connection();
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
