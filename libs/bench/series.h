/** \file
 * Named series of measured points, and the JSON format of the raw runs from which every table of
 * the capacity page is generated.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "bench/slope.h"

namespace sycamorewinch {

/** One quantity measured at increasing sizes. */
struct series {
    std::string name_;      ///< Such as `hub_cpu_per_change`.
    std::string size_name_; ///< Such as `subscribers`.
    std::string unit_;      ///< Such as `us`.
    bool is_exact_ = false; ///< A count that is the same in every run with the same seed.
    std::vector<measured_point> points_;
};

/** Settings of a run. */
struct run_settings {
    std::uint64_t seed_ = 1;
    unsigned repeats_ = 3;
};

/** The raw measurements of one run. */
struct raw_run {
    run_settings settings_;
    std::vector<series> series_;
};

/** Returns one measurement at \p size; called once per repeat. */
using measure_hook = std::function<double(std::uint64_t size)>;

/** Measures \p sizes, each as often as \p settings say; an exact series only once per size. Returns
 * \p description with the points added. */
[[nodiscard]] auto measure_series(series description, const std::vector<std::uint64_t>& sizes,
                                  const run_settings& settings, const measure_hook& measure)
    -> series;

/** Returns the series called \p name; the error lists the names in \p run. */
[[nodiscard]] auto find_series(const raw_run& run, const std::string& name) -> result<series>;

/** Returns \p run as JSON. */
[[nodiscard]] auto to_json_text(const raw_run& run) -> std::string;
/** Parses the JSON written by `to_json_text`; fails when \p text is not a JSON object. */
[[nodiscard]] auto parse_raw_run(const std::string& text) -> result<raw_run>;

} // namespace sycamorewinch
