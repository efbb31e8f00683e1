/** \file
 * A rate with a burst, as the generic cell rate algorithm: one atomic word, no lock.
 *
 * With a rate of 10/s and a burst of 2, two requests at once are admitted and the third waits
 * 100 ms.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** Admits requests at a rate. Safe from any thread. */
class rate_limiter {
  public:
    /** Takes one request if \p per_second and \p burst allow it at \p now. */
    auto admit(double per_second, double burst, instant now) -> bool;

  private:
    std::atomic<std::int64_t> next_arrival_us_{0}; ///< Theoretical arrival time of the next one.
};

} // namespace sycamorewinch
