/** \file
 * Serves calls that other nodes send to the targets beside this node.
 */
#pragma once

#include "request_path/node_state.h"
#include "request_path/target_connections.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

/** Serves one request from another node; returns the hooks of its stream. \p ends_stream: the
 * request has no body. */
[[nodiscard]] auto serve_peer_call(node_state& node, target_connections& targets,
                                   const std::shared_ptr<h2_connection>& connection,
                                   stream_id stream, const header_list& headers, bool ends_stream)
    -> stream_hooks;

} // namespace sycamorewinch
