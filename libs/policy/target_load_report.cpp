#include "policy/target_load_report.h"

#include <array>
#include <charconv>

#include <fmt/core.h>

namespace sycamorewinch {

auto to_text(const target_load_report& report) -> std::string
{
    const auto text = fmt::format("{},{},{},{}", report.relative_latency_, report.in_flight_,
                                  report.slots_, report.error_rate_);
    return report.rate_limit_
               ? fmt::format("{},{},{}", text, *report.rate_limit_, report.rate_delay_ms_)
               : text;
}

auto parse_target_load_report(std::string_view text) -> std::optional<target_load_report>
{
    constexpr std::size_t fields_without_limit = 4;
    constexpr std::size_t fields_with_limit = 6;
    std::array<std::uint32_t, fields_with_limit> numbers{};
    std::size_t count = 0;
    const auto* next = text.data();
    const auto* const end = text.data() + text.size();
    while (count < numbers.size()) {
        const auto [stop, error_code] = std::from_chars(next, end, numbers.at(count));
        if (error_code != std::errc()) {
            return std::nullopt;
        }
        ++count;
        next = stop;
        if (stop == end || *stop != ',') {
            break;
        }
        ++next;
    }
    const bool has_limit = count == fields_with_limit;
    if (next != end || text.ends_with(',') || (count != fields_without_limit && !has_limit)) {
        return std::nullopt;
    }
    target_load_report report{numbers[0], numbers[1], numbers[2], numbers[3], {}, numbers[5]};
    if (has_limit) {
        report.rate_limit_ = numbers[4];
    }
    return report;
}

} // namespace sycamorewinch
