/** \file
 * Named series of measured points, and their JSON form: the raw runs that every table of the
 * capacity page is made from.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "bench/slope.h"

namespace sycamorewinch {

/** What was measured over a ladder of sizes. */
struct series {
    std::string name_;      ///< Such as `hub_cpu_per_change`.
    std::string size_name_; ///< Such as `subscribers`.
    std::string unit_;      ///< Such as `us`.
    bool is_exact_ = false; ///< A count that repeats exactly under the same seed.
    std::vector<measured_point> points_;
};

/** How a run was made. */
struct run_settings {
    std::uint64_t seed_ = 1;
    unsigned repeats_ = 3;
};

/** The raw figures of one run. */
struct raw_run {
    run_settings settings_;
    std::vector<series> series_;
};

/** Measures one size; is called once for each repeat. */
using measure_hook = std::function<double(std::uint64_t size)>;

/** Runs \p measure over \p sizes, with the settings' repeats. */
[[nodiscard]] auto measure_series(series description, const std::vector<std::uint64_t>& sizes,
                                  const run_settings& settings, const measure_hook& measure)
    -> series;

/** Returns the series called \p name; the error lists the names that are there. */
[[nodiscard]] auto find_series(const raw_run& run, const std::string& name) -> result<series>;

/** Returns \p run as JSON. */
[[nodiscard]] auto to_json_text(const raw_run& run) -> std::string;
/** Reads a run back. */
[[nodiscard]] auto parse_raw_run(const std::string& text) -> result<raw_run>;

} // namespace sycamorewinch
