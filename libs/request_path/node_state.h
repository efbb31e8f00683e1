/** \file
 * The state that the threads of one node share: the routes in force, the targets beside the node,
 * the requests known to crash targets, and the metrics. Worker threads read it without a lock.
 */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "concurrency/rcu_cell.h"
#include "crash_record/crash_tracker.h"
#include "observability/metrics.h"
#include "policy/admission_controller.h"
#include "policy/route_table.h"
#include "policy/target_meter.h"
#include "policy/version_choice.h"
#include "policy/version_meter.h"
#include "request_path/crash_guard.h"
#include "request_path/header_mapping.h"
#include "request_path/node_quotas.h"
#include "request_path/worker_run_client.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** A target beside this node. */
struct local_target {
    std::string service_;
    std::string target_;
    peer_address address_;
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_;
    std::shared_ptr<version_meter> versions_; ///< Null unless a roll-out of the service is running.
    std::optional<instant> cold_start_end_;   ///< As announced with the target's start.
};

/** All targets beside this node. */
using local_targets = std::vector<local_target>;

/** Takes note that a target beside this node has said it is leaving, in the start with the number
 * \p start_number (see admission_controller). Called on worker threads. */
using leave_hook = std::function<void(const std::string& service, const std::string& target,
                                      std::uint32_t start_number)>;

/** Limits on the callers of each worker. */
struct caller_limits {
    memory_account* account_ = nullptr; ///< Null: what callers hold is not counted.
    std::size_t max_connections_ = 0;
    std::chrono::milliseconds body_timeout_ = http1_limits().body_timeout_;
};

/** The shared state of one node. */
class node_state {
  public:
    /** \p own_address is the address at which this node accepts calls from other nodes. */
    node_state(std::string own_address, metrics_registry& registry);

    /** Returns the routes in force. */
    [[nodiscard]] auto routes() const -> std::shared_ptr<const route_table>
    {
        return routes_.read();
    }
    void publish_routes(std::shared_ptr<const route_table> routes)
    {
        routes_.publish(std::move(routes));
    }

    [[nodiscard]] auto targets() const -> std::shared_ptr<const local_targets>
    {
        return targets_.read();
    }
    void publish_targets(std::shared_ptr<const local_targets> targets)
    {
        targets_.publish(std::move(targets));
    }

    [[nodiscard]] auto own_address() const -> const std::string& { return own_address_; }
    /** Builds the routes from the table and the roll-outs in force and the targets, and publishes
     * them. Main thread only. */
    void publish_routes(const std::shared_ptr<const table>& enforced,
                        const std::vector<target_record>& targets,
                        std::shared_ptr<const rollout_set> rollouts = nullptr);

    /** Records when the roll-outs in force were last known to be current. */
    void set_rollouts_proved_at(instant proved_at) { rollout_currency_->set_proved_at(proved_at); }

    /** Returns the quotas of organisations. */
    [[nodiscard]] auto quotas() -> node_quotas& { return quotas_; }

    /** Returns the service state that counts calls which match no route. */
    [[nodiscard]] auto unrouted() -> service_state& { return *unrouted_; }

    /** Sets the header fields used with callers and targets. Call before the workers start. */
    void set_header_mapping(header_mapping mapping) { header_mapping_ = std::move(mapping); }
    [[nodiscard]] auto mapping() const -> const header_mapping& { return header_mapping_; }

    /** Sets the availability zone whose targets are preferred; empty: none. Call before the workers
     * start. */
    void set_preferred_zone(std::string zone) { preferred_zone_ = std::move(zone); }
    [[nodiscard]] auto preferred_zone() const -> const std::string& { return preferred_zone_; }

    /** Sets how the path prefixes of the table match. Call before the first table is published. */
    void set_prefix_match(prefix_match match) { prefix_match_ = match; }

    /** Sets the access to the record of unrepeatable requests. Call before the workers start. */
    void set_run_record_hooks(run_record_hooks port) { run_record_hooks_ = std::move(port); }
    [[nodiscard]] auto run_hooks() const -> const run_record_hooks& { return run_record_hooks_; }

    /** Sets the account of what is held for callers, and the limits on each worker's callers.
     * Without them, nothing is counted. Call before the workers start. */
    void set_caller_limits(const caller_limits& limits) { caller_limits_ = limits; }
    [[nodiscard]] auto limits_of_callers() const -> const caller_limits& { return caller_limits_; }

    /** Sets the hook that publishes crash records. Call before the workers start. */
    void set_crash_report_hook(crash_report_hook port) { crash_report_hook_ = std::move(port); }
    [[nodiscard]] auto crash_hook() const -> const crash_report_hook& { return crash_report_hook_; }

    /** Sets the hook that is called when a target beside this node says that it is leaving. Call
     * before the workers start. */
    void set_leave_hook(leave_hook hook) { leave_hook_ = std::move(hook); }
    [[nodiscard]] auto on_leave() const -> const leave_hook& { return leave_hook_; }

    /** Returns the requests known to crash targets. */
    [[nodiscard]] auto crashes() const -> std::shared_ptr<const crash_view>
    {
        return crashes_.read();
    }
    void publish_crashes(std::shared_ptr<const crash_view> crashes)
    {
        crashes_.publish(std::move(crashes));
    }

    /** Sets the oldest proof of currency on which a request is refused because the table does not
     * allow it; zero: any. Call before the workers start. */
    void set_max_refusal_proof_age(duration age) { max_refusal_proof_age_ = age; }
    /** Sets when the table in force was last known to be current. */
    void set_proved_current_at(instant time)
    {
        proved_current_at_us_ = time.time_since_epoch().count();
    }
    /** Returns whether the table in force was proved current recently enough to refuse a request
     * that it does not allow. */
    [[nodiscard]] auto is_table_recent(instant now) const -> bool
    {
        return max_refusal_proof_age_.count() == 0 ||
               now.time_since_epoch().count() - proved_current_at_us_ <=
                   max_refusal_proof_age_.count();
    }

    /** Makes the node refuse new calls; calls in flight continue. */
    void begin_shutdown() { shutting_down_ = true; }
    [[nodiscard]] auto is_shutting_down() const -> bool { return shutting_down_; }

    /** Returns the counter of calls in flight on all threads, which also counts each worker thread
     * whose shutdown grace period runs. */
    [[nodiscard]] auto calls_in_flight() -> std::atomic<std::int64_t>& { return in_flight_; }

  private:
    std::string own_address_;
    node_quotas quotas_;
    rcu_cell<route_table> routes_;
    rcu_cell<local_targets> targets_;
    service_states states_;
    organisation_states organisation_states_;
    std::shared_ptr<const table> indexed_table_; ///< Whose organisations are indexed.
    std::shared_ptr<const organisation_index> organisations_;
    std::shared_ptr<rollout_currency> rollout_currency_ = std::make_shared<rollout_currency>();
    std::shared_ptr<service_state> unrouted_;
    header_mapping header_mapping_ = native_header_mapping();
    std::string preferred_zone_;
    prefix_match prefix_match_ = prefix_match::segment;
    caller_limits caller_limits_;
    run_record_hooks run_record_hooks_;
    crash_report_hook crash_report_hook_;
    leave_hook leave_hook_;
    rcu_cell<crash_view> crashes_{std::make_shared<const crash_view>()};
    duration max_refusal_proof_age_{0};
    std::atomic<std::int64_t> proved_current_at_us_{0};
    std::atomic<bool> shutting_down_{false};
    std::atomic<std::int64_t> in_flight_{0};
};

} // namespace sycamorewinch
