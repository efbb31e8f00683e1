/** \file
 * What an accepted version costs the control replicas, measured on the pure logic in this process:
 * no disk and no network but the bytes that would go there.
 */
#pragma once

#include "bench/series.h"

namespace sycamorewinch {

/** Measures leader and follower over ladders of replicas and services. */
[[nodiscard]] auto measure_control(const run_settings& settings) -> std::vector<series>;

} // namespace sycamorewinch
