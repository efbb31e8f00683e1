#include "request_path/target_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace sycamorewinch {

namespace {

constexpr std::string_view leaving_value = "1";

} // namespace

auto parse_max_rate(std::string_view text) -> std::optional<double>
{
    double rate = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, error_code] =
        std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool is_number = error_code == std::errc() && stop == end && std::isfinite(rate);
    if (!is_number || text.starts_with('-')) {
        return std::nullopt;
    }
    return std::min(rate, max_stated_rate);
}

auto read_target_notice(const header_list& fields, std::string_view rate_field,
                        std::string_view leaving_field) -> target_notice
{
    target_notice notice;
    for (const auto& field : fields) {
        if (field.name_ == leaving_field) {
            notice.is_leaving_ = notice.is_leaving_ || field.value_ == leaving_value;
        }
        if (field.name_ != rate_field) {
            continue;
        }
        const auto rate = parse_max_rate(field.value_);
        notice.has_malformed_rate_ = notice.has_malformed_rate_ || !rate;
        if (rate) {
            notice.max_rate_ = std::min(notice.max_rate_.value_or(*rate), *rate);
        }
    }
    return notice;
}

} // namespace sycamorewinch
