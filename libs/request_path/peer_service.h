/** \file
 * The side of a node that takes calls from other nodes for the targets beside it.
 */
#pragma once

#include "request_path/node_state.h"
#include "request_path/target_connections.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

/** Serves one request of another node and returns the hooks of its stream. */
[[nodiscard]] auto serve_peer_call(node_state& node, target_connections& targets,
                                   const std::shared_ptr<h2_connection>& connection,
                                   stream_id stream, const header_list& headers, bool last)
    -> stream_hooks;

} // namespace sycamorewinch
