#include "policy/rate_limiter.h"

#include <algorithm>

namespace sycamorewinch {

auto rate_limiter::admit(double per_second, double burst, instant now) -> bool
{
    constexpr double microseconds_per_second = 1e6;
    const auto interval = static_cast<std::int64_t>(microseconds_per_second / per_second);
    const auto tolerance =
        static_cast<std::int64_t>(microseconds_per_second / per_second * (burst - 1));
    const auto now_us = now.time_since_epoch().count();
    auto expected = theoretical_arrival_us_.load(std::memory_order_relaxed);
    while (true) {
        const auto arrival = std::max(expected, now_us);
        if (arrival - now_us > tolerance) {
            return false;
        }
        if (theoretical_arrival_us_.compare_exchange_weak(expected, arrival + interval,
                                                          std::memory_order_relaxed)) {
            return true;
        }
    }
}

} // namespace sycamorewinch
