/** \file
 * Parses the Prometheus text format as the daemon writes it (`/metrics`).
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorewinch {

/** One sample of a metric. */
struct metric_sample {
    std::map<std::string, std::string> labels_;
    double value_ = 0;
};

/** Returns the samples of the metric \p name in \p text; malformed lines are skipped. */
[[nodiscard]] auto parse_samples(std::string_view text, std::string_view name)
    -> std::vector<metric_sample>;

} // namespace sycamorewinch
