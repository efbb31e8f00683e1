/** \file
 * A lock-free rate limiter: the generic cell rate algorithm (GCRA) on one atomic integer.
 *
 * Example: with a rate of 10/s and a burst of 2, two simultaneous requests are admitted and a third
 * is admitted 100 ms later.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** Limits requests to a rate with a burst. Safe from any thread. */
class rate_limiter {
  public:
    /** Returns whether a request at \p now is within \p per_second and \p burst, and if so counts
     * it. */
    auto admit(double per_second, double burst, instant now) -> bool;

    /** Returns how long after \p now the next request is within \p per_second and \p burst; zero if
     * it is already. */
    [[nodiscard]] auto delay(double per_second, double burst, instant now) const -> duration;

    /** To be called when the rate has changed to \p per_second: requests admitted at the earlier
     * rate delay the next one by no more than requests at the new rate would. */
    void begin_rate(double per_second, double burst, instant now);

  private:
    std::atomic<std::int64_t> theoretical_arrival_us_{0}; ///< TAT of the next request.
};

} // namespace sycamorewinch
