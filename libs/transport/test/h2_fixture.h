/** \file
 * Client and server ends of an HTTP/2 connection over loopback, in the event loop of the test.
 */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "standin/loopback_socket.h"
#include "transport/h2_connection.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

/** Returns limits with time-outs short enough for a test to wait for. */
[[nodiscard]] auto short_timeouts() -> connection_limits;

/** Returns the header fields of a POST request for \p path. */
[[nodiscard]] auto request_fields(std::string_view path) -> header_list;

/** Connects a client to \p port. */
[[nodiscard]] auto dial_h2(std::uint16_t port, connection_hooks hooks = {},
                           connection_limits limits = {}) -> std::shared_ptr<h2_connection>;

/** A server that gives every connection the same hooks. */
class h2_server {
  public:
    using request_hook = std::function<stream_hooks(h2_connection& connection, stream_id stream,
                                                    const header_list& headers)>;
    explicit h2_server(request_hook on_request, connection_limits limits = {});

    [[nodiscard]] auto port() const -> std::uint16_t { return listener_->port(); }
    [[nodiscard]] auto connections() const -> const std::vector<std::shared_ptr<h2_connection>>&
    {
        return connections_;
    }
    /** Returns why each closed connection ended, in order. */
    [[nodiscard]] auto ends() const -> const std::vector<connection_end_reason>& { return ends_; }

  private:
    void accept(std::unique_ptr<QTcpSocket> socket);

    request_hook on_request_;
    connection_limits limits_;
    std::vector<std::shared_ptr<h2_connection>> connections_;
    std::vector<connection_end_reason> ends_;
    std::unique_ptr<reuse_port_listener> listener_;
};

} // namespace sycamorewinch
