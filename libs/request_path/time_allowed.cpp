#include "request_path/time_allowed.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace sycamorewinch {

auto parse_time_allowed(std::string_view field) -> std::optional<std::chrono::milliseconds>
{
    std::int64_t value = 0;
    const auto* end = field.data() + field.size();
    const auto [parsed_end, error] = std::from_chars(field.data(), end, value);
    if (error != std::errc() || parsed_end != end) {
        return std::nullopt;
    }
    return std::clamp(std::chrono::milliseconds(value), std::chrono::milliseconds(0),
                      std::chrono::milliseconds(max_time_allowed));
}

} // namespace sycamorewinch
