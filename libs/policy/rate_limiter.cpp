#include "policy/rate_limiter.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** The algorithm's parameters, in microseconds. */
struct limiter_times {
    std::int64_t interval_;  ///< Between two requests at the rate.
    std::int64_t tolerance_; ///< By which the TAT may be ahead of a request that is admitted.

    limiter_times(double per_second, double burst)
        : interval_(static_cast<std::int64_t>(microseconds_per_second / per_second)),
          tolerance_(static_cast<std::int64_t>(microseconds_per_second / per_second * (burst - 1)))
    {
    }

  private:
    static constexpr double microseconds_per_second = 1e6;
};

} // namespace

auto rate_limiter::admit(double per_second, double burst, instant now) -> bool
{
    const limiter_times times(per_second, burst);
    const auto now_us = now.time_since_epoch().count();
    auto expected = theoretical_arrival_us_.load(std::memory_order_relaxed);
    while (true) {
        const auto arrival = std::max(expected, now_us);
        if (arrival - now_us > times.tolerance_) {
            return false;
        }
        if (theoretical_arrival_us_.compare_exchange_weak(expected, arrival + times.interval_,
                                                          std::memory_order_relaxed)) {
            return true;
        }
    }
}

auto rate_limiter::delay(double per_second, double burst, instant now) const -> duration
{
    const limiter_times times(per_second, burst);
    const auto ahead =
        theoretical_arrival_us_.load(std::memory_order_relaxed) - now.time_since_epoch().count();
    return duration(std::max<std::int64_t>(ahead - times.tolerance_, 0));
}

void rate_limiter::begin_rate(double per_second, double burst, instant now)
{
    const limiter_times times(per_second, burst);
    const auto latest = now.time_since_epoch().count() + times.tolerance_ + times.interval_;
    auto expected = theoretical_arrival_us_.load(std::memory_order_relaxed);
    while (expected > latest && !theoretical_arrival_us_.compare_exchange_weak(
                                    expected, latest, std::memory_order_relaxed)) {
    }
}

} // namespace sycamorewinch
