/** \file
 * An exchange through the node beside another target, over HTTP/2.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "request_path/exchange.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** The connections of one thread to other nodes. */
class peer_connections {
  public:
    explicit peer_connections(cluster_key key) : key_(std::move(key)) {}

    /** Calls \p use with a ready connection to \p address, or with nullptr if none can be had. */
    void with_connection(const peer_address& address,
                         std::function<void(h2_connection* connection)> use);

  private:
    struct slot {
        std::shared_ptr<peer_client> client_;
        std::vector<std::function<void(h2_connection*)>> waiting_;
    };

    void answer_waiting(const peer_address& address, bool ready);

    cluster_key key_;
    std::map<peer_address, slot> slots_;
};

/** Starts an exchange through the node at \p address. Hooks may be called before it returns. */
[[nodiscard]] auto start_peer_exchange(peer_connections& connections, const peer_address& address,
                                       const exchange_request& request, exchange_hooks hooks)
    -> exchange_controls;

} // namespace sycamorewinch
