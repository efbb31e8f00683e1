/** \file
 * An exchange with a target beside this node: admission control, then HTTP/1.1 to the target.
 */
#pragma once

#include "request_path/exchange.h"
#include "request_path/node_state.h"
#include "request_path/target_connections.h"

namespace sycamorewinch {

/** Starts an exchange with the local target that \p request names. Hooks may be called before this
 * function returns. */
[[nodiscard]] auto start_local_exchange(node_state& node, target_connections& connections,
                                        const exchange_request& request, exchange_hooks hooks)
    -> exchange_controls;

} // namespace sycamorewinch
