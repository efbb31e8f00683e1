/** \file
 * A connection between two processes that hold the same cluster key.
 *
 * The client opens with a nonce; the server answers with its own nonce and a proof; the client
 * sends its proof. Requests made before that wait; requests from a peer that has not proved the
 * key are answered 401 and the connection ends.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <QTimer>

#include "transport/cluster_key.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

/** The version of the protocol between processes; peers of another version are refused. */
constexpr std::string_view protocol_version = "2";

/** An address in the settings' form, an IP number and a port. */
struct peer_address {
    std::string host_;
    std::uint16_t port_ = 0;

    [[nodiscard]] auto operator<=>(const peer_address&) const = default;
};

/** Reads `10.0.0.1:7000` or `[::1]:7000`; the error says what is allowed. */
[[nodiscard]] auto parse_peer_address(std::string_view text) -> result<peer_address>;

/** Returns \p address in the form that parse_peer_address() reads. */
[[nodiscard]] auto to_text(const peer_address& address) -> std::string;

/** What a client is told of its connection. */
struct peer_client_hooks {
    std::function<void()> on_ready_;                   ///< The server proved the key.
    std::function<void(connection_end end)> on_ended_; ///< Called once.
};

/** The client's side of an authenticated connection. */
class peer_client : public std::enable_shared_from_this<peer_client> {
  public:
    /** Starts connecting to \p address. */
    [[nodiscard]] static auto dial(const peer_address& address, const cluster_key& key,
                                   peer_client_hooks hooks, connection_limits limits = {})
        -> std::shared_ptr<peer_client>;

    /** Returns the connection below. Make requests on it once ready. */
    [[nodiscard]] auto connection() const -> h2_connection& { return *connection_; }
    [[nodiscard]] auto is_ready() const -> bool
    {
        return ready_ && connection_->accepts_requests();
    }
    /** Returns whether it was ready once, even if it takes no further requests. */
    [[nodiscard]] auto is_established() const -> bool { return ready_; }
    [[nodiscard]] auto is_open() const -> bool { return connection_->is_open(); }
    void close() { connection_->close(); }

  private:
    peer_client(cluster_key key, peer_client_hooks hooks)
        : key_(std::move(key)), hooks_(std::move(hooks))
    {
    }

    void say_hello();
    void check_server(const header_list& answer);
    void send_proof(const std::string& server_nonce);

    cluster_key key_;
    peer_client_hooks hooks_;
    std::shared_ptr<h2_connection> connection_;
    std::string nonce_;
    bool ready_ = false;
    QTimer handshake_timer_; ///< Ends a connection that does not get ready in time.
};

/** Serves one accepted socket: checks the peer, then hands every request to \p on_request. */
using request_hook =
    std::function<stream_hooks(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                               const header_list& headers, bool last)>;

/** Starts the server's side on an accepted socket. */
[[nodiscard]] auto serve_peer(std::unique_ptr<QTcpSocket> socket, const cluster_key& key,
                              request_hook on_request,
                              std::function<void(connection_end end)> on_ended,
                              connection_limits limits = {}) -> std::shared_ptr<h2_connection>;

} // namespace sycamorewinch
