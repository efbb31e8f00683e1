#include "policy/target_health.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr double one = 1'000;
/** A load that was reported longer ago says nothing of now. */
constexpr duration load_lifetime = std::chrono::seconds(3);
/** A target of which nothing was heard for so long may have become another one: it is tried. */
constexpr duration status_lifetime = std::chrono::seconds(10);
/** What an error costs, in aims: the caller comes back, and is answered late. */
constexpr double aims_per_error = 4;

} // namespace

void target_health::on_status(const target_load_report& status, instant now)
{
    relative_latency_ = status.relative_latency_;
    error_rate_ = status.error_rate_;
    load_ = status.in_flight_ * static_cast<std::uint32_t>(one) /
            std::max<std::uint32_t>(status.slots_, 1);
    reported_us_ = now.time_since_epoch().count();
}

auto target_health::cost(instant now) const -> double
{
    const auto age = now.time_since_epoch() - duration(reported_us_);
    if (age >= status_lifetime) {
        return 0;
    }
    const auto load = age < load_lifetime ? load_ / one : 0;
    const auto busy = 1 + load * load; // a nearly full target answers later, or turns calls away
    return relative_latency_ / one * busy + error_rate_ / one * aims_per_error;
}

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
