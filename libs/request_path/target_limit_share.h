/** \file
 * The share of a caller's limits that the node beside a target enforces for that target.
 */
#pragma once

#include "policy/limit_share.h"
#include "request_path/exchange.h"

namespace sycamorewinch {

/** Returns the share of the caller's limits for the target of \p request under \p route, the route
 * that the request's path matches at this node. A target that is not in this node's routes yet gets
 * an equal share, as if the service had one more target. If no route matches (null) or the route
 * does not lead to the request's service, nothing is limited: this node and the caller's node
 * enforce different table versions for a moment. */
[[nodiscard]] auto target_limit_share(const service_route* route, const exchange_request& request)
    -> limit_share;

} // namespace sycamorewinch
