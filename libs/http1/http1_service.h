/** \file
 * A small HTTP/1.1 service whose answers may come later: whole requests go to one handler, which
 * answers at once or after work that takes time.
 *
 * \code
 * auto service = http1_service::listen(address, limits, [](http1_call call) {
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

/** One answer. */
struct http1_answer {
    unsigned status_ = 0;
    header_list headers_;
    std::string body_;
};

/** One whole request. */
struct http1_call {
    message_head head_;
    std::string body_;
    /** Answers the call; does nothing when the client has gone. To be called once. */
    std::function<void(http1_answer answer)> reply_;
};

/** Serves one address in one thread's event loop. */
class http1_service {
  public:
    using handler = std::function<void(http1_call call)>;

    /** Listens on \p address. A request that passes \p limits is answered 400, 413 or 431. */
    [[nodiscard]] static auto listen(const peer_address& address, const http1_limits& limits,
                                     handler handler) -> result<std::unique_ptr<http1_service>>;
    http1_service(const http1_service&) = delete;
    auto operator=(const http1_service&) -> http1_service& = delete;
    http1_service(http1_service&&) = delete;
    auto operator=(http1_service&&) -> http1_service& = delete;
    /** Ends every connection. */
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
