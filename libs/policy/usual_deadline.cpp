#include "policy/usual_deadline.h"

#include <algorithm>

namespace sycamorewinch {

auto usual_deadline::time_used(duration stated, instant now) -> duration
{
    const auto number = now.time_since_epoch() / period;
    auto current = period_number_.load();
    if (current != number && period_number_.compare_exchange_strong(current, number)) {
        longest_before_us_ = current + 1 == number ? longest_us_.load() : 0;
        longest_us_ = 0;
    }
    auto longest = longest_us_.load();
    while (longest < stated.count() &&
           !longest_us_.compare_exchange_weak(longest, stated.count())) {
    }
    const auto usual = std::max(longest_us_.load(), longest_before_us_.load());
    return std::max(duration(usual) - stated, duration(0));
}

} // namespace sycamorewinch
