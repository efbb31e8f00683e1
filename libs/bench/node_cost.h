/** \file
 * Measures the CPU and memory that a node uses to build routes after a table change, and to route
 * and admit calls.
 */
#pragma once

#include "bench/series.h"

namespace sycamorewinch {

/** Measures routing for increasing numbers of services, and admission for increasing numbers of
 * callers. */
[[nodiscard]] auto measure_node(const run_settings& settings) -> std::vector<series>;

} // namespace sycamorewinch
