/** \file
 * The part of a caller's limits that falls to one target, at the node beside it.
 */
#pragma once

#include "policy/limit_share.h"
#include "request_path/exchange.h"

namespace sycamorewinch {

/** Returns what the target of \p request may grant its caller under \p route, the row that the
 * request's path belongs to here. A target that is new to this node's routes grants as if it were
 * one more alike. A row that this node does not know (null), or knows otherwise than the caller's
 * node, limits nothing: the two enforce different versions for a moment. */
[[nodiscard]] auto granted_share(const service_route* route, const exchange_request& request)
    -> limit_share;

} // namespace sycamorewinch
