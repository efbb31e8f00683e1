#include "daemon/node_shutdown.h"

#include <algorithm>
#include <utility>

#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr auto check_period = std::chrono::milliseconds(20);
/** How long a shutdown waits until all operations on the run record are acknowledged. */
constexpr duration max_run_record_wait = std::chrono::seconds(5);
/** Calls are cut this long before the forced end of the process. */
constexpr duration max_cut_margin = std::chrono::milliseconds(500);
/** A short grace period gives at most this part of its time to the margin. */
constexpr int min_grace_per_margin = 12;

auto cut_margin(duration grace) -> duration
{
    return std::min(max_cut_margin, grace / min_grace_per_margin);
}

/** Returns the leave notice, or half of a short grace period: calls that are taken at the end of
 * the notice have the other half to end by themselves. */
auto notice_within_grace(const node_shutdown_times& times) -> std::chrono::milliseconds
{
    return times.grace_.count() > 0 ? std::min(times.leave_notice_, times.grace_ / 2)
                                    : times.leave_notice_;
}

} // namespace

node_shutdown::node_shutdown(node_shutdown_times times, node_shutdown_hooks hooks)
    : times_(times), hooks_(std::move(hooks))
{
    QObject::connect(&check_timer_, &QTimer::timeout, &check_timer_, [this] { end_if_idle(); });
}

void node_shutdown::start(std::function<void()> done)
{
    has_started_ = true;
    done_ = std::move(done);
    if (times_.grace_.count() > 0) {
        cut_timer_.start(times_.grace_ - cut_margin(times_.grace_));
    }
    notice_timer_.start(notice_within_grace(times_));
}

void node_shutdown::stop_serving()
{
    if (std::exchange(has_stopped_serving_, true)) {
        return;
    }
    notice_timer_.stop();
    hooks_.stop_serving_();
    record_deadline_ = monotonic_now() + max_run_record_wait;
    check_timer_.start(check_period);
}

void node_shutdown::cut_calls()
{
    stop_serving();
    const auto calls = hooks_.cut_calls_();
    log_event(log_level::warning, "shutdown_cut_calls", {{"calls", calls}});
    end_timer_.start(cut_margin(times_.grace_) / 2); // the responses have this long to be sent
}

void node_shutdown::end_if_idle()
{
    const bool is_record_wait_over =
        !hooks_.has_unacknowledged_runs_() || monotonic_now() > record_deadline_;
    if (!hooks_.has_calls_() && is_record_wait_over) {
        end();
    }
}

void node_shutdown::end()
{
    cut_timer_.stop();
    end_timer_.stop();
    check_timer_.stop();
    done_();
}

} // namespace sycamorewinch
