/** \file
 * Estimates how much of its time a call has already used before it reached this node.
 *
 * A caller that retries after a refusal states the time it has left, not the time it started with.
 * The longest time that callers of the service stated recently is taken as the time of a first
 * attempt. A call that states less is taken to be a retry that has used the difference.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** The longest recently stated time of the callers of one service. Safe from any thread. */
class timeout_estimator {
  public:
    /** Records the time \p stated by a call, and returns how much time the call had used before. */
    auto time_used(duration stated, instant now) -> duration;

    /** A stated time is remembered for one to two periods. */
    static constexpr duration period = std::chrono::seconds(5);

  private:
    std::atomic<std::int64_t> period_number_{0};
    std::atomic<std::int64_t> current_max_us_{0};  ///< In the current period.
    std::atomic<std::int64_t> previous_max_us_{0}; ///< In the previous period.
};

} // namespace sycamorewinch
