#include "policy/target_health.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr double thousandths_per_unit = 1'000;
/** An older reported load does not describe the current load. */
constexpr duration max_load_age = std::chrono::seconds(3);
/** After this time without a load report, the target may have changed, so its cost is unknown and
 * it is tried again. */
constexpr duration max_report_age = std::chrono::seconds(10);
/** The cost of an error, in multiples of the target latency: the caller retries and gets its
 * response late. */
constexpr double error_cost = 4;

} // namespace

void target_health::on_load_report(const target_load_report& report, instant now)
{
    relative_latency_ = report.relative_latency_;
    error_rate_ = report.error_rate_;
    load_ = report.in_flight_ * static_cast<std::uint32_t>(thousandths_per_unit) /
            std::max<std::uint32_t>(report.slots_, 1);
    rate_limit_ = report.rate_limit_ ? std::int64_t(*report.rate_limit_) : no_rate_limit;
    reported_us_ = now.time_since_epoch().count();
    rate_exhausted_until_us_ =
        (now + std::chrono::milliseconds(report.rate_delay_ms_)).time_since_epoch().count();
}

void target_health::on_leaving(std::uint64_t start)
{
    auto known = leaving_start_.load();
    while (known < start && !leaving_start_.compare_exchange_weak(known, start)) {
    }
}

auto target_health::rate_limit(instant now) const -> std::optional<std::uint32_t>
{
    const auto limit = rate_limit_.load();
    const bool is_recent = now.time_since_epoch() - duration(reported_us_) < max_report_age;
    return limit != no_rate_limit && is_recent ? std::optional(static_cast<std::uint32_t>(limit))
                                               : std::nullopt;
}

auto target_health::cost(instant now) const -> double
{
    const auto age = now.time_since_epoch() - duration(reported_us_);
    if (age >= max_report_age) {
        return 0;
    }
    const auto load = age < max_load_age ? load_ / thousandths_per_unit : 0;
    const auto load_factor = 1 + load * load; // a nearly full target responds late or refuses calls
    return relative_latency_ / thousandths_per_unit * load_factor +
           error_rate_ / thousandths_per_unit * error_cost;
}

void target_health::on_failure(instant now)
{
    const auto failures = ++failures_;
    if (failures < failures_to_eject) {
        return;
    }
    // Calls that were in flight when the target was ejected do not extend the ejection.
    if (is_ejected(now)) {
        --failures_;
        return;
    }
    constexpr std::uint32_t max_doublings = 4;
    const auto doublings = std::min(failures - failures_to_eject, max_doublings);
    const auto ejection_time = std::min(max_ejection_time, base_ejection_time * (1U << doublings));
    ejected_until_us_ = (now + ejection_time).time_since_epoch().count();
}

void target_health::on_unreachable(instant now)
{
    unreachable_until_us_ = (now + base_ejection_time).time_since_epoch().count();
}

} // namespace sycamorewinch
