#include "policy/stated_rate_limit.h"

namespace sycamorewinch {

auto stated_rate_limit::state(std::optional<double> per_second, instant request_sent, instant now)
    -> bool
{
    const auto stated = per_second.value_or(unlimited);
    const auto current = per_second_.load();
    const bool may_be_older = request_sent.time_since_epoch().count() < stated_us_;
    if (stated > current && may_be_older) {
        return false;
    }
    if (per_second) {
        stated_us_ = now.time_since_epoch().count();
    }
    per_second_ = stated;
    return stated != current;
}

auto stated_rate_limit::per_second() const -> std::optional<double>
{
    const auto rate = per_second_.load();
    return rate == unlimited ? std::nullopt : std::optional(rate);
}

} // namespace sycamorewinch
