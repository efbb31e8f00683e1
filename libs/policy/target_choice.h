/** \file
 * Which target of a service takes a call.
 *
 * Where an operator gave weights, they decide. Elsewhere the best of three targets drawn at random
 * is taken, by what the nodes beside them last reported (target_health::cost): quick and idle ones
 * get more, and nodes that heard the same report do not all rush to one target. A node stays in its
 * own availability zone unless a target of another one is known to be better by far.
 */
#pragma once

#include "policy/route_table.h"

namespace sycamorewinch {

/** Returns the names of the targets that this node leaves out now: those that fail, never more than
 * half of all, and those that cannot be reached. */
[[nodiscard]] auto ejected_targets(const service_route& route, instant now)
    -> std::vector<std::string>;

/** Picks a target of \p route by weight, leaving out the names in \p excluded unless all are;
 * returns nullptr when there is none. */
[[nodiscard]] auto choose_target(const service_route& route,
                                 const std::vector<std::string>& excluded,
                                 const random_hook& random) -> const weighted_target*;

/** Picks the best of a few targets, of those in \p zone first, leaving out the names in \p excluded
 * unless all are; without a zone all are alike. Rows with weights are left to them. */
[[nodiscard]] auto choose_target_by_cost(const service_route& route, std::string_view zone,
                                         const std::vector<std::string>& excluded, instant now,
                                         const random_hook& random) -> const weighted_target*;

} // namespace sycamorewinch
