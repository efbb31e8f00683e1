/** \file
 * The steps of a node's shutdown, from the request to shut down to the end of the process.
 *
 * 1. For the leave notice the node serves on while it reports not ready, so that callers can move
 *    to other nodes.
 * 2. It stops serving: it takes no new calls, and those in progress continue.
 * 3. Shortly before the forced end of the process, if there is one, it cuts the calls still in
 *    progress. Their callers would otherwise get a reset connection instead of a response.
 * 4. The process may end once no call is in progress and the operations on the run record are
 *    acknowledged, or soon after step 3 in any case.
 *
 * \code
 * node_shutdown shutdown({.leave_notice_ = 2'200ms, .grace_ = 6s}, hooks);
 * shutdown.start([] { QCoreApplication::quit(); });
 * \endcode
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

#include <QTimer>

#include "base/time.h"
#include "event_loop/deadline_timer.h"

namespace sycamorewinch {

/** The times of a shutdown, measured from its start. */
struct node_shutdown_times {
    /** How long the node serves on; at most half of the grace period, if that has a limit. */
    std::chrono::milliseconds leave_notice_{0};
    std::chrono::milliseconds grace_{0}; ///< Until the forced end; zero: no limit.
};

/** The node's part in its shutdown. */
struct node_shutdown_hooks {
    std::function<void()> stop_serving_;
    std::function<std::size_t()> cut_calls_; ///< Ends all calls; returns how many there were.
    std::function<bool()> has_calls_;        ///< Calls are in progress, or peers connected.
    std::function<bool()> has_unacknowledged_runs_; ///< Operations on the run record are pending.
};

/** Runs the shutdown of a node. For the thread of an event loop. */
class node_shutdown {
  public:
    node_shutdown(node_shutdown_times times, node_shutdown_hooks hooks);

    /** Starts the shutdown, and calls \p done when the process may end. */
    void start(std::function<void()> done);
    [[nodiscard]] auto has_started() const -> bool { return has_started_; }

  private:
    void stop_serving();
    void cut_calls();
    void end_if_idle();
    void end();

    node_shutdown_times times_;
    node_shutdown_hooks hooks_;
    std::function<void()> done_;
    deadline_timer notice_timer_{[this] {
        stop_serving();
    }};
    deadline_timer cut_timer_{[this] {
        cut_calls();
    }};
    deadline_timer end_timer_{[this] {
        end();
    }};
    QTimer check_timer_;
    instant record_deadline_{}; ///< The end of the wait for the run record.
    bool has_started_ = false;
    bool has_stopped_serving_ = false;
};

} // namespace sycamorewinch
