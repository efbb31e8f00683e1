/** \file
 * A small HTTP/1.1 server with asynchronous replies: complete requests are passed to one handler,
 * which replies at once or later.
 *
 * \code
 * auto service = http1_service::listen(address, limits, [](http1_request call) {
 *     call.reply_({.status_ = 200, .body_ = "{}"});
 * });
 * \endcode
 */
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http1/http1_server_connection.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

/** One response. */
struct http1_response {
    unsigned status_ = 0;
    header_list headers_;
    std::string body_;
};

/** One complete request. */
struct http1_request {
    message_head head_;
    std::string body_;
    /** Sends the response; does nothing if the client has disconnected. To be called once. */
    std::function<void(http1_response response)> reply_;
};

/** Serves one address in the event loop of the thread that created it. */
class http1_service {
  public:
    using handler = std::function<void(http1_request request)>;

    /** Listens on \p address. A request that exceeds \p limits gets status 413 or 431, a malformed
     * one 400, and one that must give back what it holds 503. */
    [[nodiscard]] static auto listen(const peer_address& address, const http1_limits& limits,
                                     handler handler) -> result<std::unique_ptr<http1_service>>;
    http1_service(const http1_service&) = delete;
    auto operator=(const http1_service&) -> http1_service& = delete;
    http1_service(http1_service&&) = delete;
    auto operator=(http1_service&&) -> http1_service& = delete;
    /** Closes every connection. */
    ~http1_service();

    /** Returns the port listened on. */
    [[nodiscard]] auto port() const -> std::uint16_t { return listener_->port(); }

  private:
    http1_service(const http1_limits& limits, handler handler);
    void accept(std::unique_ptr<QTcpSocket> socket);
    auto on_request(const std::weak_ptr<http1_server_connection>& connection, message_head head)
        -> request_hooks;

    http1_limits limits_;
    handler handler_;
    std::unique_ptr<reuse_port_listener> listener_;
    std::set<std::shared_ptr<http1_server_connection>> connections_;
};

} // namespace sycamorewinch
