/** \file
 * An HTTP/2 connection between two processes that prove to each other that they hold the same
 * cluster key.
 *
 * Handshake: the client sends `/hello` with its nonce; the server responds with its own nonce and
 * its proof; the client sends its proof with `/prove`. The client must make no other request before
 * on_ready_: a request from a peer that has not proved the key is answered 401 and the connection
 * ends.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "event_loop/deadline_timer.h"
#include "transport/cluster_key.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

/** The version of the protocol between processes; peers of another version are refused. */
constexpr std::string_view protocol_version = "3";

/** An IP address and a port, as written in the settings. */
struct peer_address {
    std::string host_;
    std::uint16_t port_ = 0;

    [[nodiscard]] auto operator<=>(const peer_address&) const = default;
};

/** Parses `10.0.0.1:7000` or `[::1]:7000`. Error invalid_input: the text names the valid form. */
[[nodiscard]] auto parse_peer_address(std::string_view text) -> result<peer_address>;

/** Formats \p address so that parse_peer_address() can parse it. */
[[nodiscard]] auto to_text(const peer_address& address) -> std::string;

/** Callbacks of a peer_client. */
struct peer_client_hooks {
    std::function<void()> on_ready_;                          ///< Both sides have proved the key.
    std::function<void(connection_end_reason end)> on_ended_; ///< Called once.
};

/** The client end of an authenticated connection. */
class peer_client : public std::enable_shared_from_this<peer_client> {
  public:
    /** Starts connecting to \p address. */
    [[nodiscard]] static auto dial(const peer_address& address, const cluster_key& key,
                                   peer_client_hooks hooks, connection_limits limits = {})
        -> std::shared_ptr<peer_client>;

    /** Returns the HTTP/2 connection; make requests on it once is_ready(). */
    [[nodiscard]] auto connection() const -> h2_connection& { return *connection_; }
    /** Returns whether the handshake is done and requests may be started. */
    [[nodiscard]] auto is_ready() const -> bool
    {
        return ready_ && connection_->accepts_requests();
    }
    /** Returns whether the handshake was done, even if no further request may be started. */
    [[nodiscard]] auto is_established() const -> bool { return ready_; }
    [[nodiscard]] auto is_open() const -> bool { return connection_->is_open(); }
    void close() { connection_->close(); }

  private:
    peer_client(cluster_key key, peer_client_hooks hooks)
        : key_(std::move(key)), hooks_(std::move(hooks))
    {
    }

    void send_hello();
    void verify_server(const header_list& response);
    void send_proof(const std::string& server_nonce);

    cluster_key key_;
    peer_client_hooks hooks_;
    std::shared_ptr<h2_connection> connection_;
    std::string nonce_;
    bool ready_ = false;
    deadline_timer handshake_timer_{[this] {
        const auto keep = shared_from_this(); // on_ended_ may drop the last reference
        connection_->close(connection_end_reason::not_ready);
    }};
};

/** Receives each request of an authenticated peer and returns the hooks of its stream. */
using request_hook =
    std::function<stream_hooks(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                               const header_list& headers, bool last)>;

/** Serves an accepted socket: authenticates the peer, then passes each request to \p on_request. */
[[nodiscard]] auto serve_peer(std::unique_ptr<QTcpSocket> socket, const cluster_key& key,
                              request_hook on_request,
                              std::function<void(connection_end_reason end)> on_ended,
                              connection_limits limits = {}) -> std::shared_ptr<h2_connection>;

} // namespace sycamorewinch
