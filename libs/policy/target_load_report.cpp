#include "policy/target_load_report.h"

#include <array>
#include <charconv>

#include <fmt/core.h>

namespace sycamorewinch {

auto to_text(const target_load_report& status) -> std::string
{
    return fmt::format("{},{},{},{}", status.relative_latency_, status.in_flight_, status.slots_,
                       status.error_rate_);
}

auto parse_target_load_report(std::string_view text) -> std::optional<target_load_report>
{
    target_load_report status;
    const std::array parts{&status.relative_latency_, &status.in_flight_, &status.slots_,
                           &status.error_rate_};
    const auto* next = text.data();
    const auto* end = text.data() + text.size();
    for (auto* part : parts) {
        const auto [stop, problem] = std::from_chars(next, end, *part);
        const bool is_last = part == parts.back();
        if (problem != std::errc() || (is_last ? stop != end : stop == end || *stop != ',')) {
            return std::nullopt;
        }
        next = is_last ? stop : stop + 1;
    }
    return status;
}

} // namespace sycamorewinch
