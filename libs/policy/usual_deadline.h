/** \file
 * The time that callers of one route usually allow, so that a call which says that it has less left
 * is known to have been tried before.
 *
 * A caller that comes back after a refusal says how much of its time is left, and not how much it
 * had. The longest time that was stated lately is taken for what a first try has.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** What callers of one route stated lately. Safe from any thread. */
class usual_deadline {
  public:
    /** Notes the time that a call states, and returns how much of its time was used before. */
    auto time_used(duration stated, instant now) -> duration;

    /** What was stated counts for one to two of these. */
    static constexpr duration period = std::chrono::seconds(5);

  private:
    std::atomic<std::int64_t> period_number_{0};
    std::atomic<std::int64_t> longest_us_{0};        ///< In this period.
    std::atomic<std::int64_t> longest_before_us_{0}; ///< In the one before.
};

} // namespace sycamorewinch
