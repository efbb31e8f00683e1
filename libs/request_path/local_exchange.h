/** \file
 * An exchange with a target beside this node: admission control, then HTTP/1.1 to the target.
 */
#pragma once

#include "request_path/exchange.h"
#include "request_path/node_state.h"
#include "request_path/target_connections.h"

namespace sycamorewinch {

/** Once a caller has disconnected from an unrepeatable request that was sent whole, the target is
 * given at least this long to respond. */
constexpr std::chrono::milliseconds min_response_time_after_disconnect{10'000};

/** Starts an exchange with the local target that \p request names. Hooks may be called before this
 * function returns. After the exchange is cancelled, a run under an idempotency key continues for
 * the time left to the request, and at least for \p min_detached_time. */
[[nodiscard]] auto start_local_exchange(
    node_state& node, target_connections& connections, const exchange_request& request,
    exchange_hooks hooks,
    std::chrono::milliseconds min_detached_time = min_response_time_after_disconnect)
    -> exchange_controls;

} // namespace sycamorewinch
