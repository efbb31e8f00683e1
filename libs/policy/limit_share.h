/** \file
 * How a caller's limit, which is for the whole system, is shared out over a service's targets.
 *
 * Every node computes the same shares from the same table and targets, without a message. Whole
 * numbers are shared out whole: a concurrency of 2 over 3 targets gives 1, 1 and 0, and which
 * target gets none depends on the caller's name. Targets that are given nothing are left out of
 * that caller's routing.
 *
 * Worked example: concurrency 4 over targets of weight 2, 1, 1. Each is given 1; the one left over
 * falls to the target under the caller's own mark on a line on which the targets lie end to end,
 * each as long as its weight.
 */
#pragma once

#include <string_view>
#include <vector>

#include "policy/route_table.h"

namespace sycamorewinch {

/** What one target may grant one caller. */
struct limit_share {
    bool grants_ = true;             ///< Whether the caller's requests may go there at all.
    double requests_per_second_ = 0; ///< Zero: no limit.
    double burst_ = 0;
    std::uint32_t concurrency_ = 0; ///< Zero: no limit.
};

/** Returns the shares of \p limit over the targets of \p route, in their order. */
[[nodiscard]] auto compute_limit_shares(const service_route& route, std::string_view caller,
                                        const caller_limit& limit) -> std::vector<limit_share>;

/** Returns the names of the targets that may grant \p caller nothing. */
[[nodiscard]] auto targets_without_share(const service_route& route, std::string_view caller,
                                         const caller_limit& limit) -> std::vector<std::string>;

/** Returns whether \p limit limits anything. */
[[nodiscard]] auto is_limited(const caller_limit& limit) -> bool;

} // namespace sycamorewinch
