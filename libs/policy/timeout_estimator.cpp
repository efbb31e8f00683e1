#include "policy/timeout_estimator.h"

#include <algorithm>

namespace sycamorewinch {

auto timeout_estimator::time_used(duration stated, instant now) -> duration
{
    const auto number = now.time_since_epoch() / period;
    auto current = period_number_.load();
    if (current != number && period_number_.compare_exchange_strong(current, number)) {
        previous_max_us_ = current + 1 == number ? current_max_us_.load() : 0;
        current_max_us_ = 0;
    }
    auto longest = current_max_us_.load();
    while (longest < stated.count() &&
           !current_max_us_.compare_exchange_weak(longest, stated.count())) {
    }
    const auto longest_stated = std::max(current_max_us_.load(), previous_max_us_.load());
    return std::max(duration(longest_stated) - stated, duration(0));
}

} // namespace sycamorewinch
