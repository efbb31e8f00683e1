/** \file
 * Serves calls that other nodes send to the targets beside this node.
 */
#pragma once

#include <map>
#include <memory>
#include <utility>

#include "request_path/node_state.h"
#include "request_path/target_connections.h"
#include "request_path/worker_quotas.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

/** The calls of one thread from other nodes. Must outlive their connections. */
class peer_calls {
  public:
    peer_calls(node_state& node, target_connections& targets, worker_quotas& quotas)
        : node_(node), targets_(targets), quotas_(quotas)
    {
    }

    /** Serves one request from another node, which may also be the withdrawal of an earlier one
     * (see to_peer_withdrawal()) or a request for tokens of a quota; returns the hooks of its
     * stream. \p ends_stream: the request has no body. */
    [[nodiscard]] auto serve(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                             const header_list& headers, bool ends_stream) -> stream_hooks;

  private:
    class peer_call;
    using call_key = std::pair<const h2_connection*, stream_id>;

    node_state& node_;
    target_connections& targets_;
    worker_quotas& quotas_;
    std::map<call_key, std::weak_ptr<peer_call>> calls_; ///< Those whose streams are open.
};

} // namespace sycamorewinch
