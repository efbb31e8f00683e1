/** \file
 * What distribution costs a publisher and a subscriber, measured on the pure logic in this process.
 */
#pragma once

#include "bench/series.h"

namespace sycamorewinch {

/** Measures publisher and subscriber over ladders of subscribers, services and targets. */
[[nodiscard]] auto measure_distribution(const run_settings& settings) -> std::vector<series>;

/** Returns the message bytes that one subscriber receives for a one-cell change of a table with
 * \p services rows. */
[[nodiscard]] auto one_cell_change_bytes(std::uint64_t services) -> std::uint64_t;

} // namespace sycamorewinch
