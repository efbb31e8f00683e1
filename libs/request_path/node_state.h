/** \file
 * What the threads of one node share: the routes in force, the targets beside the node, and the
 * metrics. Requests read it without a lock.
 */
#pragma once

#include <atomic>
#include <map>
#include <memory>
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
#include "request_path/crash_guard.h"
#include "request_path/header_mapping.h"
#include "request_path/run_gateway.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** A target beside this node. */
struct local_target {
    std::string service_;
    std::string target_;
    peer_address address_;
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_;
};

/** All targets beside this node. */
using local_targets = std::vector<local_target>;

/** The shared state of one node. */
class node_state {
  public:
    /** \p own_address is where this node takes calls from other nodes. */
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
    /** Joins the table in force with the targets and publishes the routes. Main thread only. */
    void publish_routes(const std::shared_ptr<const table>& enforced,
                        const std::vector<target_record>& targets);

    /** Returns the state of calls that match no service. */
    [[nodiscard]] auto unrouted() -> service_state& { return *unrouted_; }

    /** How callers and targets speak of what concerns the system; set before the workers start. */
    void set_header_mapping(header_mapping mapping) { header_mapping_ = std::move(mapping); }
    [[nodiscard]] auto mapping() const -> const header_mapping& { return header_mapping_; }

    /** Targets in this zone are chosen before others; empty: all alike. Set before the workers
     * start.
     */
    void set_preferred_zone(std::string zone) { preferred_zone_ = std::move(zone); }
    [[nodiscard]] auto preferred_zone() const -> const std::string& { return preferred_zone_; }

    /** The way to the record of unrepeatable requests; set before the workers start. */
    void set_run_record_hooks(run_record_hooks port) { run_port_ = std::move(port); }
    [[nodiscard]] auto runs() const -> const run_record_hooks& { return run_port_; }

    /** The way to the news of requests that end targets; set before the workers start. */
    void set_crash_report_hook(crash_report_hook port) { crash_port_ = std::move(port); }
    [[nodiscard]] auto crash_news() const -> const crash_report_hook& { return crash_port_; }

    /** Returns the requests known to end targets. */
    [[nodiscard]] auto crashes() const -> std::shared_ptr<const crash_view>
    {
        return crashes_.read();
    }
    void publish_crashes(std::shared_ptr<const crash_view> crashes)
    {
        crashes_.publish(std::move(crashes));
    }

    /** From now on callers are refused; requests in flight go on. */
    void begin_shutdown() { shutting_down_ = true; }
    [[nodiscard]] auto is_shutting_down() const -> bool { return shutting_down_; }

    /** Counts calls in flight on any thread. */
    [[nodiscard]] auto calls_in_flight() -> std::atomic<std::int64_t>& { return in_flight_; }

  private:
    std::string own_address_;
    rcu_cell<route_table> routes_;
    rcu_cell<local_targets> targets_;
    service_states states_;
    std::shared_ptr<service_state> unrouted_;
    header_mapping header_mapping_ = native_header_mapping();
    std::string preferred_zone_;
    run_record_hooks run_port_;
    crash_report_hook crash_port_;
    rcu_cell<crash_view> crashes_{std::make_shared<const crash_view>()};
    std::atomic<bool> shutting_down_{false};
    std::atomic<std::int64_t> in_flight_{0};
};

} // namespace sycamorewinch
