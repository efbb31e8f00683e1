/** \file
 * An exchange with a target beside another node, sent to that node over HTTP/2.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "request_path/exchange.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** The receive window of a call's stream between two nodes. A node's link is shared by all its
 * calls and sends first what was written first, so a short response waits for the windows of all
 * large ones in transit. At a round trip of 10 ms a call still gets 1.6 MB/s. */
constexpr std::uint32_t call_window_bytes = 16U * 1024;

/** The connections of one thread to other nodes, at most one in use per node. */
class peer_connections {
  public:
    explicit peer_connections(cluster_key key, connection_limits limits = {})
        : key_(std::move(key)), limits_(limits)
    {
    }
    peer_connections(const peer_connections&) = delete;
    auto operator=(const peer_connections&) -> peer_connections& = delete;
    peer_connections(peer_connections&&) = delete;
    auto operator=(peer_connections&&) -> peer_connections& = delete;
    /** Closes every connection. */
    ~peer_connections();

    /** Returns the guard of this thread; null: what is held for calls is not counted. */
    [[nodiscard]] auto guard() const -> resource_guard* { return limits_.guard_; }

    /** Calls \p callback with a ready connection to \p address, at once or when it has opened.
     * Calls it with nullptr if the connection fails to open or too many calls wait for it already.
     */
    void with_connection(const peer_address& address,
                         std::function<void(h2_connection* connection)> callback);

  private:
    using connection_hook = std::function<void(h2_connection*)>;

    struct entry {
        std::shared_ptr<peer_client> client_;
        std::uint64_t generation_ = 0; ///< Incremented with each connection to this address.
        std::vector<connection_hook> waiting_calls_;
    };

    void dial(const peer_address& address);
    /** Gives the waiting calls the connection if it is \p ready, else nullptr. */
    void notify_waiting(const peer_address& address, std::uint64_t generation, bool ready);

    cluster_key key_;
    connection_limits limits_;
    std::map<peer_address, entry> entries_;
    /** Connections that accept no new requests and were replaced, but may still have requests in
     * flight. */
    std::vector<std::shared_ptr<peer_client>> replaced_;
};

/** Starts an exchange through the node at \p address. Hooks may be called before this function
 * returns. */
[[nodiscard]] auto start_peer_exchange(peer_connections& connections, const peer_address& address,
                                       const exchange_request& request, exchange_hooks hooks)
    -> exchange_controls;

} // namespace sycamorewinch
