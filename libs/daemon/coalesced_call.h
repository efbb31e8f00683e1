/** \file
 * Runs a function once for many requests that come in quick succession.
 *
 * After a restart of a whole fleet every node hears of every target within a second. Work whose
 * cost follows the size of the table is then done once for all that has arrived, not once for each
 * message.
 *
 * \code
 * coalesced_call publish(std::chrono::milliseconds(50), [&] { publish_routes(); });
 * publish.request();  // several times: one call, 50 ms after the first request
 * publish.run_now();  // a change that must not wait; it also covers what was requested
 * \endcode
 */
#pragma once

#include <chrono>
#include <functional>

#include "event_loop/deadline_timer.h"

namespace sycamorewinch {

/** Delays calls of a function and merges those requested meanwhile. For the thread of an event
 * loop. */
class coalesced_call {
  public:
    coalesced_call(std::chrono::milliseconds delay, std::function<void()> function);

    /** Calls the function after the delay, unless such a call is already pending. */
    void request();

    /** Calls the function at once, in place of a pending call. */
    void run_now();

  private:
    std::chrono::milliseconds delay_;
    std::function<void()> function_;
    deadline_timer timer_{[this] {
        function_();
    }};
};

} // namespace sycamorewinch
