/** \file
 * Divides a caller's limit, which holds for all targets of a service together, among these targets.
 *
 * Every node computes the same shares from the same table and targets, without exchanging messages.
 * Integer limits are divided into integers: a concurrency of 2 over 3 targets gives 1, 1 and 0, and
 * the caller's name determines which target gets 0. Nodes route none of that caller's requests to a
 * target without a share, and such a target's node admits none.
 *
 * Each target that has a share gets a concurrency of 1; the rest is divided in proportion to the
 * weights. Example: concurrency 4 over targets of weight 2, 1 and 1. Each gets 1, and the remaining
 * unit is assigned by systematic sampling: the targets form consecutive intervals as long as their
 * weights, and a point derived from the caller's name selects one.
 */
#pragma once

#include <string_view>
#include <vector>

#include "policy/route_table.h"

namespace sycamorewinch {

/** The part of one caller's limit that is enforced for one target. */
struct limit_share {
    bool admits_calls_ = true;       ///< False: no share; all requests of the caller are refused.
    double requests_per_second_ = 0; ///< 0: unlimited, if admits_calls_.
    double burst_ = 0;
    std::uint32_t concurrency_ = 0; ///< 0: unlimited, if admits_calls_.
};

/** Returns the share of \p limit of each target of \p route, in the order of the targets. */
[[nodiscard]] auto compute_limit_shares(const service_route& route, std::string_view caller,
                                        const caller_limit& limit) -> std::vector<limit_share>;

/** Returns the names of the targets of \p route that have no share of \p limit for \p caller. The
 * limit is divided among the targets of both sides if \p route is a side of a version_split. */
[[nodiscard]] auto targets_without_share(const service_route& route, std::string_view caller,
                                         const caller_limit& limit) -> std::vector<std::string>;

/** Returns whether \p limit sets a rate or a concurrency. */
[[nodiscard]] auto is_limited(const caller_limit& limit) -> bool;

} // namespace sycamorewinch
