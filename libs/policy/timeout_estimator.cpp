#include "policy/timeout_estimator.h"

#include <algorithm>

namespace sycamorewinch {

auto timeout_estimator::time_used(duration stated, instant now) -> duration
{
    const auto period_number = now.time_since_epoch() / period;
    auto current = period_number_.load();
    if (current != period_number &&
        period_number_.compare_exchange_strong(current, period_number)) {
        previous_max_us_ = current + 1 == period_number ? current_max_us_.load() : 0;
        current_max_us_ = 0;
    }
    auto longest_in_period = current_max_us_.load();
    while (longest_in_period < stated.count() &&
           !current_max_us_.compare_exchange_weak(longest_in_period, stated.count())) {
    }
    const auto longest_stated = std::max(current_max_us_.load(), previous_max_us_.load());
    return std::max(duration(longest_stated) - stated, duration(0));
}

} // namespace sycamorewinch
