/** \file
 * Measures the cost of accepting a table version on the control replicas. Runs the replica logic in
 * this process without disk or network and counts the bytes that would be written and sent.
 */
#pragma once

#include "bench/series.h"

namespace sycamorewinch {

/** Measures leader and follower for increasing numbers of replicas and services. */
[[nodiscard]] auto measure_control(const run_settings& settings) -> std::vector<series>;

} // namespace sycamorewinch
