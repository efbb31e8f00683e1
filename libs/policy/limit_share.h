/** \file
 * Divides a caller's limit, which applies to the whole system, among the targets of a service.
 *
 * Every node computes the same shares from the same table and targets, without exchanging messages.
 * Integer limits are divided into integers: a concurrency of 2 over 3 targets gives 1, 1 and 0, and
 * the caller's name determines which target gets 0. Targets with no share are excluded when that
 * caller's requests are routed.
 *
 * Example: concurrency 4 over targets of weight 2, 1 and 1. Each target gets 1. The remaining unit
 * is assigned by systematic sampling: the targets form consecutive intervals as long as their
 * weights, and a point derived from the caller's name selects one.
 */
#pragma once

#include <string_view>
#include <vector>

#include "policy/route_table.h"

namespace sycamorewinch {

/** The part of one caller's limit that one target enforces. */
struct limit_share {
    bool admits_calls_ = true;       ///< False: the target refuses all requests of the caller.
    double requests_per_second_ = 0; ///< 0: no limit.
    double burst_ = 0;
    std::uint32_t concurrency_ = 0; ///< 0: no limit.
};

/** Returns the share of \p limit of each target of \p route, in the order of the targets. */
[[nodiscard]] auto compute_limit_shares(const service_route& route, std::string_view caller,
                                        const caller_limit& limit) -> std::vector<limit_share>;

/** Returns the names of the targets that have no share of \p limit for \p caller. */
[[nodiscard]] auto targets_without_share(const service_route& route, std::string_view caller,
                                         const caller_limit& limit) -> std::vector<std::string>;

/** Returns whether \p limit sets a rate or a concurrency. */
[[nodiscard]] auto is_limited(const caller_limit& limit) -> bool;

} // namespace sycamorewinch
