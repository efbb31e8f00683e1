/** \file
 * A single-shot timer that never expires before its deadline.
 *
 * A QTimer may by default expire 5 % of its interval early or late, so that several timers share
 * one wake-up. That suits periodic checks. Timeouts that callers, targets or peers rely on, such
 * as the time a call is given, need this class.
 *
 * \code
 * deadline_timer timer([&] { respond_with_timeout(); });
 * timer.start_at(arrived_at + row.timeout_);
 * \endcode
 */
#pragma once

#include <functional>

#include <QTimer>

#include "base/time.h"

namespace sycamorewinch {

/** Calls a function once a deadline has passed. For the thread of an event loop. */
class deadline_timer {
  public:
    /** \p on_expired may start the timer again, and may destroy it. \p clock must return the
     * process's monotonic time; tests inject another. */
    explicit deadline_timer(std::function<void()> on_expired, clock_hook clock = monotonic_now);

    /** Expires at \p deadline, or as soon as the event loop runs if that has passed. Replaces an
     * earlier start. */
    void start_at(instant deadline);

    /** Expires after \p delay. Replaces an earlier start. */
    void start(duration delay);

    /** Does not expire until it is started again. */
    void stop();

    [[nodiscard]] auto is_active() const -> bool { return timer_.isActive(); }

  private:
    void wait();
    void on_timeout();

    std::function<void()> on_expired_;
    clock_hook clock_;
    instant deadline_{};
    QTimer timer_;
};

} // namespace sycamorewinch
