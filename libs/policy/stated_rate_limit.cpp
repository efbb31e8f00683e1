#include "policy/stated_rate_limit.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** Returns the rate that is enforced if the target states \p rate. */
auto enforced_rate(double rate) -> double
{
    return std::max(rate, stated_rate_limit::min_rate);
}

/** Returns the burst that is admitted at \p rate, in requests. */
auto burst_of(double rate) -> double
{
    return std::max(stated_rate_limit::min_burst, rate * to_seconds(stated_rate_limit::burst_time));
}

} // namespace

auto stated_rate_limit::state(std::optional<double> per_second, instant request_sent, instant now)
    -> bool
{
    has_response_ = true;
    const auto stated = per_second.value_or(unlimited);
    const auto current = per_second_.load();
    const bool may_be_older = request_sent.time_since_epoch().count() < stated_us_;
    if (stated > current && may_be_older) {
        return false;
    }
    if (per_second) {
        stated_us_ = now.time_since_epoch().count();
    }
    if (per_second && stated != current) {
        const auto rate = enforced_rate(stated);
        limiter_.begin_rate(rate, burst_of(rate), now);
    }
    per_second_ = stated;
    return stated != current;
}

void stated_rate_limit::adopt(double per_second)
{
    if (!has_response_) {
        per_second_ = per_second;
    }
}

void stated_rate_limit::clear()
{
    has_response_ = false;
    per_second_ = unlimited;
}

auto stated_rate_limit::per_second() const -> std::optional<double>
{
    const auto rate = per_second_.load();
    return rate == unlimited ? std::nullopt : std::optional(rate);
}

auto stated_rate_limit::admit(instant now) -> bool
{
    const auto stated = per_second();
    if (!stated) {
        return true;
    }
    const auto rate = enforced_rate(*stated);
    return limiter_.admit(rate, burst_of(rate), now);
}

auto stated_rate_limit::delay(std::size_t requests_ahead, instant now) const -> duration
{
    constexpr double microseconds_per_second = 1e6;
    const auto stated = per_second();
    if (!stated) {
        return duration(0);
    }
    const auto rate = enforced_rate(*stated);
    const auto time_ahead = static_cast<double>(requests_ahead) / rate * microseconds_per_second;
    return limiter_.delay(rate, burst_of(rate), now) +
           duration(static_cast<std::int64_t>(time_ahead));
}

} // namespace sycamorewinch
