/** \file
 * The request rate that a target has stated in its responses.
 *
 * Responses may overtake each other, so the last one to arrive is not always the newest. A
 * response lowers the limit at once. It raises or lifts the limit only if its request was sent
 * after the limit had been stated, since the target may otherwise have sent it before.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <optional>

#include "base/time.h"

namespace sycamorewinch {

/** The stated rate of one target. Safe from any thread. */
class stated_rate_limit {
  public:
    /** Records that a response that arrived at \p now states \p per_second requests per second, or
     * no limit; its request was sent at \p request_sent. Returns whether the limit changed. */
    auto state(std::optional<double> per_second, instant request_sent, instant now) -> bool;

    /** Returns the limit in requests per second; nothing if there is none. */
    [[nodiscard]] auto per_second() const -> std::optional<double>;

  private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    std::atomic<double> per_second_{unlimited};
    std::atomic<std::int64_t> stated_us_{0}; ///< When a response last stated the limit.
};

} // namespace sycamorewinch
