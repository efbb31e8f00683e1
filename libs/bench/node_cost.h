/** \file
 * What one node spends on decisions: making routes after a change, and routing and admitting calls.
 */
#pragma once

#include "bench/series.h"

namespace sycamorewinch {

/** Measures a node's decisions over ladders of services and targets. */
[[nodiscard]] auto measure_node(const run_settings& settings) -> std::vector<series>;

} // namespace sycamorewinch
