#include "policy/target_meter.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr std::int64_t one = 1'000;
/** One part in so many of an average is the latest value. */
constexpr std::int64_t average_over = 16;
/** Stands for the aim of rows that have none. */
constexpr duration usual_aim = std::chrono::seconds(1);
/** A single answer counts as no slower than this many aims, in thousandths. */
constexpr std::int64_t slowest = 20 * one;

/** Two threads may lose one value to each other: an average does not mind. */
void move_towards(std::atomic<std::uint32_t>& average, std::int64_t value)
{
    const std::int64_t before = average.load(std::memory_order_relaxed);
    const auto step = value - before;
    // Rounded away from zero, so that small values are reached.
    const auto rounding = step > 0 ? average_over - 1 : 1 - average_over;
    average.store(static_cast<std::uint32_t>(before + (step + rounding) / average_over),
                  std::memory_order_relaxed);
}

} // namespace

void target_meter::on_answer(duration taken, duration aim)
{
    const auto base = aim > duration(0) ? aim : usual_aim;
    const auto relative_latency =
        std::clamp<std::int64_t>(taken.count() * one / base.count(), 1, slowest);
    if (relative_latency_ == 0) {
        relative_latency_ = static_cast<std::uint32_t>(relative_latency);
    }
    move_towards(relative_latency_, relative_latency);
    move_towards(error_rate_, 0);
}

void target_meter::on_error()
{
    move_towards(error_rate_, one);
}

} // namespace sycamorewinch
