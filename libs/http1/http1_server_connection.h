/** \file
 * One caller's connection: requests in, answers out in the order of the requests.
 *
 * The next pipelined request is not parsed before the answer to the current one has been written,
 * so answers cannot change places. Bodies are streamed both ways: reading stops while the request's
 * receiver is behind, and on_writable_ tells when the caller has taken what was written.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http1/http1_parser.h"

class QTcpSocket;

namespace sycamorewinch {

class http1_server_connection;

/** What the owner of a request wants to hear. */
struct request_hooks {
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_body_end_;
    std::function<void()> on_writable_;
    /** The caller went away or broke the protocol; the answer is of no more use. */
    std::function<void()> on_cancelled_;
};

/** What the owner of a connection wants to hear. */
struct server_connection_hooks {
    /** A request's head arrived. Returns the hooks of the request. */
    std::function<request_hooks(message_head head)> on_request_;
    /** The input is malformed; the owner answers with respond(), and the connection then ends. */
    std::function<void(http1_problem problem)> on_bad_request_;
    /** The connection is gone. Called once. */
    std::function<void()> on_closed_;
};

/** One HTTP/1.1 server connection, in one thread's event loop. */
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

    /** Changes the limits, from the next request on. */
    void set_limits(const http1_limits& limits);

    /** Starts the answer to the current request. Without content_length_ a body is chunked. */
    void respond(message_head head);
    /** Writes a part of the answer's body. */
    void write(std::string_view bytes);
    /** Ends the answer; the next request may follow. */
    void finish();
    /** Ends the connection at once, so that a cut answer is seen as cut. */
    void abort();

    /** Stops or resumes reading the request's body. */
    void pause_reading(bool paused);
    /** Returns the bytes written that the caller has not taken yet. */
    [[nodiscard]] auto queued_bytes() const -> std::size_t;
    /** Ends after the next answer, or the current one; that one says `connection: close`. */
    void close_after_next_answer();
    /** Ends after the current answer; at once when idle. */
    void close_when_idle();

  private:
    http1_server_connection();
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
