/** \file
 * An HTTP/1.1 server connection to one caller. Responses are sent in the order of the requests.
 *
 * A pipelined request is not parsed until the response to the previous one has been written, so
 * responses cannot be reordered. Bodies are streamed in both directions, with flow control: the
 * request's owner pauses reading with pause_reading(), and on_writable_ reports that the write
 * queue has drained.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http1/http1_parser.h"

class QTcpSocket;

namespace sycamorewinch {

class http1_server_connection;

/** Callbacks of one request. */
struct request_hooks {
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_body_end_;
    /** The write queue is short again; more of the response may be written. */
    std::function<void()> on_writable_;
    /** The caller disconnected or violated the protocol; the response can no longer be delivered.
     */
    std::function<void()> on_cancelled_;
    /** The time for the request has ended; the owner must finish or abort the response. */
    std::function<void()> on_time_up_;
    /** The request must give back what it holds; the owner must finish or abort the response. */
    std::function<void()> on_reclaim_;
};

/** Callbacks of a connection. */
struct server_connection_hooks {
    /** A request head arrived. Returns the callbacks of the request. */
    std::function<request_hooks(message_head head)> on_request_;
    /** The request was rejected by the parser. The owner sends an error with respond(), after which
     * the connection is closed. */
    std::function<void(http1_parse_error parse_error)> on_bad_request_;
    /** The connection is closed. Called once. */
    std::function<void()> on_closed_;
};

/** One HTTP/1.1 server connection. Runs in the event loop of the thread that created it. */
class http1_server_connection : public std::enable_shared_from_this<http1_server_connection> {
  public:
    [[nodiscard]] static auto create(std::unique_ptr<QTcpSocket> socket, http1_limits limits,
                                     server_connection_hooks hooks)
        -> std::shared_ptr<http1_server_connection>;
    http1_server_connection(const http1_server_connection&) = delete;
    auto operator=(const http1_server_connection&) -> http1_server_connection& = delete;
    http1_server_connection(http1_server_connection&&) = delete;
    auto operator=(http1_server_connection&&) -> http1_server_connection& = delete;
    ~http1_server_connection();

    /** Sets the limits that apply from the next request on. */
    void set_limits(const http1_limits& limits);

    /** Starts the response to the current request. A body without content_length_ is chunked; for
     * an HTTP/1.0 caller it lasts until the connection closes. */
    void respond(message_head head);
    /** Writes part of the response body. */
    void write(std::string_view bytes);
    /** Ends the response; the next request may follow. */
    void finish();
    /** Closes the connection at once. A response in progress is reset, so that the caller sees it
     * as truncated; a finished one is still sent if the system accepts it without waiting. */
    void abort();

    /** Stops or resumes reading the request body. */
    void pause_reading(bool paused);
    /** Returns the bytes written that the operating system has not accepted yet. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;
    /** Calls on_time_up_ of the current request; returns false if none is in progress. */
    auto end_request_time() -> bool;
    /** Closes after the next response to be started, which carries `connection: close`. */
    void close_after_next_response();
    /** Closes after the current response, or at once if idle. */
    void close_when_idle();

  private:
    http1_server_connection();
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
