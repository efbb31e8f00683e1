/** \file
 * The request rate that a target has stated in its responses, and its enforcement at the node
 * beside the target, which sees the requests of all nodes.
 *
 * Requests may arrive in a burst as large as the rate gives in burst_time, or min_burst. Within any
 * time span the target gets no more requests than the rate times the span and one burst.
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
#include "policy/rate_limiter.h"

namespace sycamorewinch {

/** The stated rate of one target. Safe from any thread. */
class stated_rate_limit {
  public:
    static constexpr duration burst_time = std::chrono::milliseconds(250);
    static constexpr double min_burst = 2; ///< In requests; random arrivals often come in pairs.
    /** The rate that is enforced, in requests per second, if the target states a lower one. Only a
     * response can lift a limit, so a target that takes no requests still gets a few. */
    static constexpr double min_rate = 0.5;

    /** Records that a response that arrived at \p now states \p per_second requests per second, or
     * no limit; its request was sent at \p request_sent. Returns whether the limit changed. */
    auto state(std::optional<double> per_second, instant request_sent, instant now) -> bool;

    /** Adopts the limit that another node was told of, unless a response has been recorded here. */
    void adopt(double per_second);

    /** Lifts the limit; no response of the target has been recorded then. */
    void clear();

    /** Returns the limit in requests per second; nothing if there is none. */
    [[nodiscard]] auto per_second() const -> std::optional<double>;

    /** Returns whether a request at \p now is within the limit, and if so counts it. */
    auto admit(instant now) -> bool;

    /** Returns how long after \p now a request is within the limit if \p requests_ahead others are
     * admitted before it. */
    [[nodiscard]] auto delay(std::size_t requests_ahead, instant now) const -> duration;

  private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    std::atomic<double> per_second_{unlimited};
    std::atomic<std::int64_t> stated_us_{0}; ///< When a response last stated the limit.
    std::atomic<bool> has_response_{false};  ///< Since the start of this node or clear().
    rate_limiter limiter_;
};

} // namespace sycamorewinch
