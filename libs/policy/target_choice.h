/** \file
 * Chooses the target of a service for a call.
 *
 * If the row has weights, targets are drawn at random by weight. Otherwise the cheapest of three
 * random targets is chosen, by the cost that target_health::cost() derives from the last load
 * reports. Fast and idle targets get more calls, and random drawing keeps nodes that received the
 * same report from all calling the same target. A node uses its own availability zone unless a
 * target in another zone is known to be much cheaper.
 */
#pragma once

#include "policy/route_table.h"

namespace sycamorewinch {

/** Returns the names of the targets that this node does not use at \p now: the failing ones, unless
 * these are more than half of all, the unreachable ones, those whose stated rate is used up, and
 * the leaving ones. */
[[nodiscard]] auto ejected_targets(const service_route& route, instant now)
    -> std::vector<std::string>;

/** Chooses a target of \p route at random by weight. The targets named in \p excluded are skipped
 * unless all are excluded. Returns nullptr if \p route has no target. */
[[nodiscard]] auto choose_target(const service_route& route,
                                 const std::vector<std::string>& excluded,
                                 const random_hook& random) -> const weighted_target*;

/** Chooses the cheapest of three random targets, preferring \p zone; an empty \p zone prefers none.
 * The targets named in \p excluded are skipped unless all are excluded. A row with weights is left
 * to choose_target(). Returns nullptr if \p route has no target. */
[[nodiscard]] auto choose_target_by_cost(const service_route& route, std::string_view zone,
                                         const std::vector<std::string>& excluded, instant now,
                                         const random_hook& random) -> const weighted_target*;

} // namespace sycamorewinch
