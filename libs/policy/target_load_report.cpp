#include "policy/target_load_report.h"

#include <array>
#include <charconv>

#include <fmt/core.h>

namespace sycamorewinch {

auto to_text(const target_load_report& report) -> std::string
{
    return fmt::format("{},{},{},{}", report.relative_latency_, report.in_flight_, report.slots_,
                       report.error_rate_);
}

auto parse_target_load_report(std::string_view text) -> std::optional<target_load_report>
{
    target_load_report report;
    const std::array fields{&report.relative_latency_, &report.in_flight_, &report.slots_,
                            &report.error_rate_};
    const auto* next = text.data();
    const auto* end = text.data() + text.size();
    for (auto* field : fields) {
        const auto [stop, error_code] = std::from_chars(next, end, *field);
        const bool is_last = field == fields.back();
        if (error_code != std::errc() || (is_last ? stop != end : stop == end || *stop != ',')) {
            return std::nullopt;
        }
        next = is_last ? stop : stop + 1;
    }
    return report;
}

} // namespace sycamorewinch
