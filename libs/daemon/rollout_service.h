/** \file
 * Roll-outs in a control process: takes orders, gives the planner its reports and time, proposes
 * its commands while this process leads, and publishes what was committed.
 *
 * Every control process sends the reports of the nodes below it to all others, so that a new leader
 * has the evidence of the former one. Without any order ever given, no timer runs.
 */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <QTimer>

#include "control/control_replica.h"
#include "observability/metrics.h"
#include "rollout/rollout_planner.h"

namespace sycamorewinch {

/** An operator's order to move the calls of a service to a new version. */
struct rollout_order {
    std::string service_;
    std::string version_;
    duration duration_{};
};

/** The longest duration of a roll-out. */
constexpr duration max_rollout_duration = std::chrono::hours(24 * 7);

/** Receives the acknowledgement of an order. Errors: invalid_input; not_found, if no row of the
 * table names the service; conflict, if another roll-out of it is running; unavailable, if the
 * outcome is not known and the order must be sent again. */
using order_callback = std::function<void(const result<void>& acknowledged)>;

/** Receives the roll-out of a service, confirmed by a quorum. Errors: not_found and unavailable. */
using rollout_read_callback = std::function<void(const result<rollout_record>& record)>;

/** Access to the replica, the publisher and the other control processes. */
struct rollout_service_hooks {
    std::function<control_replica&()> replica_;
    /** Publishes the committed set to the nodes below this process. */
    std::function<void(rollout_set rollouts)> publish_;
    /** Sends a report to all other control processes, which pass it to on_report(). */
    std::function<void(const version_report& report)> broadcast_;
    /** Returns why the group cannot acknowledge orders yet, or nothing if it can. */
    std::function<std::optional<error>()> not_ready_reason_;
    clock_hook now_ = monotonic_now;
};

/** The roll-outs of one control process. */
class rollout_service {
  public:
    rollout_service(metrics_registry& metrics, rollout_service_hooks hooks);

    /** Handles a change of the committed roll-outs; see control_hooks::on_rollouts_. */
    void on_rollouts(const rollout_records& rollouts);

    /** Handles a report of the nodes below this process. */
    void on_own_report(const version_report& report);

    /** Handles a report that another control process sent through broadcast_. */
    void on_report(const std::string& source, const version_report& report);

    /** Proposes what the planner wants if this process leads; called by a timer. */
    void plan();

    /** Gives an order. It is acknowledged once it is committed, also if it was given before. */
    void order(const rollout_order& order, order_callback callback);

    /** Reads the roll-out of \p service. */
    void read(const std::string& service, rollout_read_callback callback);

    /** Returns the elapsed time of a roll-out in milliseconds. */
    [[nodiscard]] auto elapsed_ms(const rollout_record& record) const -> std::uint64_t
    {
        return planner_.elapsed_ms(record, hooks_.now_());
    }

  private:
    void propose_order(const rollout_order& order, const order_callback& callback);
    void log_changes(const rollout_records& rollouts);
    [[nodiscard]] auto is_destination(const std::string& service) const -> bool;
    [[nodiscard]] auto group_view(instant now) -> rollout_group_view;

    metrics_registry& metrics_;
    rollout_service_hooks hooks_;
    rollout_planner planner_;
    std::map<std::string, rollout> logged_; ///< By service, as last logged.
    std::optional<std::uint64_t> led_term_; ///< Set while this process leads.
    instant leading_since_{};
    QTimer plan_timer_;
};

} // namespace sycamorewinch
