#include "policy/target_health.h"

#include <algorithm>

namespace sycamorewinch {

void target_health::on_failure(instant now)
{
    const auto failures = ++failures_;
    if (failures < failures_to_eject) {
        return;
    }
    // Calls that were on their way when it was left out do not make the time longer.
    if (is_ejected(now)) {
        --failures_;
        return;
    }
    constexpr std::uint32_t most_doublings = 4;
    const auto doublings = std::min(failures - failures_to_eject, most_doublings);
    const auto wait = std::min(longest_ejection, first_ejection * (1U << doublings));
    ejected_until_us_ = (now + wait).time_since_epoch().count();
}

void target_health::on_unreachable(instant now)
{
    unreachable_until_us_ = (now + first_ejection).time_since_epoch().count();
}

} // namespace sycamorewinch
