/** \file
 * Reads counters back from the Prometheus text format, as the daemon writes it.
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

/** Returns the samples of the metric \p name in \p text; lines that cannot be read are left out. */
[[nodiscard]] auto samples_of(std::string_view text, std::string_view name)
    -> std::vector<metric_sample>;

} // namespace sycamorewinch
