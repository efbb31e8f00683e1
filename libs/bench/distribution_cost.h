/** \file
 * Measures the cost of table distribution for a publisher and a subscriber. Runs their logic in
 * this process, without a network.
 */
#pragma once

#include "bench/series.h"

namespace sycamorewinch {

/** Measures publisher and subscriber for increasing numbers of subscribers, services, targets. */
[[nodiscard]] auto measure_distribution(const run_settings& settings) -> std::vector<series>;

/** Returns the size in bytes of the update that a subscriber receives when one cell changes in a
 * table of \p services rows. */
[[nodiscard]] auto one_cell_change_bytes(std::uint64_t services) -> std::uint64_t;

} // namespace sycamorewinch
