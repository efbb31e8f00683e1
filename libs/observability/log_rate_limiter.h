/** \file
 * Rate limit of log lines: one token bucket per event name, so that a burst of one event neither
 * fills the log nor suppresses other events. Suppressed lines are counted, and the next line of the
 * same event reports the count.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace sycamorewinch {

/** The token buckets of all events. Not thread-safe. */
class log_rate_limiter {
  public:
    /** Takes one line from the bucket of \p event. Returns nothing when the line must be
     * suppressed, else the number of lines of this event suppressed since the last one written. */
    [[nodiscard]] auto acquire(std::string_view event, instant now) -> std::optional<std::uint64_t>;

    static constexpr double lines_per_second = 50; ///< Sustained rate of one event.
    static constexpr double burst_lines = 500;     ///< Largest burst of one event.

  private:
    struct bucket {
        double available_lines_ = burst_lines;
        instant last_refill_{};
        std::uint64_t suppressed_ = 0;
    };

    std::map<std::string, bucket, std::less<>> buckets_; ///< By event name.
};

} // namespace sycamorewinch
