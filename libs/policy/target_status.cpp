#include "policy/target_status.h"

#include <array>
#include <charconv>

#include <fmt/core.h>

namespace sycamorewinch {

auto to_text(const target_status& status) -> std::string
{
    return fmt::format("{},{},{},{}", status.pace_, status.in_flight_, status.slots_,
                       status.errors_);
}

auto parse_target_status(std::string_view text) -> std::optional<target_status>
{
    target_status status;
    const std::array parts{&status.pace_, &status.in_flight_, &status.slots_, &status.errors_};
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
