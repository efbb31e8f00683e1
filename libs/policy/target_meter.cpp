#include "policy/target_meter.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr std::int64_t thousandths_per_unit = 1'000;
/** The weight of the latest value in an average is 1 / smoothing_divisor. */
constexpr std::int64_t smoothing_divisor = 16;
/** For rows without a target latency. */
constexpr duration default_target_latency = std::chrono::seconds(1);
/** Upper bound on the relative latency of one response, in thousandths. */
constexpr std::int64_t max_relative_latency = 20 * thousandths_per_unit;

/** Moves \p average towards \p value. Concurrent updates may lose a value, which an average
 * tolerates. */
void update_average(std::atomic<std::uint32_t>& average, std::int64_t value)
{
    const std::int64_t current = average.load(std::memory_order_relaxed);
    const auto step = value - current;
    // Rounded away from zero, so that the average reaches the value.
    const auto rounding = step > 0 ? smoothing_divisor - 1 : 1 - smoothing_divisor;
    average.store(static_cast<std::uint32_t>(current + (step + rounding) / smoothing_divisor),
                  std::memory_order_relaxed);
}

} // namespace

void target_meter::on_answer(duration elapsed, duration target_latency)
{
    const auto reference_latency =
        target_latency > duration(0) ? target_latency : default_target_latency;
    const auto relative_latency =
        std::clamp<std::int64_t>(elapsed.count() * thousandths_per_unit / reference_latency.count(),
                                 1, max_relative_latency);
    if (relative_latency_ == 0) {
        relative_latency_ = static_cast<std::uint32_t>(relative_latency);
    }
    update_average(relative_latency_, relative_latency);
    update_average(error_rate_, 0);
}

void target_meter::on_error()
{
    update_average(error_rate_, thousandths_per_unit);
}

} // namespace sycamorewinch
