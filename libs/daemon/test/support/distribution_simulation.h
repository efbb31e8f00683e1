/** \file
 * Simulates the distribution logic of several processes on one thread in virtual time: simplified
 * control processes, relays, and nodes with one target each, joined by connections that fail.
 *
 * \code
 * distribution_simulation simulation({.seed_ = 7, .steps_ = 4000});
 * simulation.run();
 * BOOST_TEST(simulation.violation().empty());
 * \endcode
 */
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "daemon/target_registry.h"
#include "distribution/publisher.h"
#include "distribution/subscriber.h"
#include "membership/target_directory.h"
#include "policy/route_table.h"

namespace sycamorewinch::test {

/** A defect injected on purpose, to show that the invariant checks detect it. */
enum class broken_variant : std::uint8_t {
    none,
    proof_without_quorum, ///< A partitioned control process proves its own version as current.
    forged_row,           ///< A row and its digest are changed in transit.
    partial_table,        ///< A node omits a row of the table it enforces.
    routes_to_unavailable_target, ///< Routes include targets that are draining or gone.
    never_leaves_stale_upstream,  ///< No process abandons an upstream that sends no proof.
    drain_not_reported,           ///< Reports of a draining target are lost.
    incarnation_not_raised,       ///< A node does not refute newer records of its targets.
    leases_never_end,             ///< Publishers keep the targets of stopped nodes.
    rollouts_not_proved           ///< Proofs do not name the sequence of the roll-outs.
};

/** Returns the name of the simulated service number \p index. */
[[nodiscard]] auto service_name(std::size_t index) -> std::string;

/** The parameters of one run. */
struct simulation_options {
    std::uint64_t seed_ = 1;
    int steps_ = 4000; ///< Steps of 20 ms with faults; steps without faults follow.
    broken_variant variant_ = broken_variant::none;
};

/** The simulated processes and the connections between them. */
class distribution_simulation {
  public:
    explicit distribution_simulation(simulation_options options);

    /** Runs with faults, heals them, and checks that all nodes converge and that the targets of a
     * drained and of a stopped node leave the routes in time. Stops at the first violation. */
    void run();

    /** Returns the first violation of an invariant, or an empty string. */
    [[nodiscard]] auto violation() const -> const std::string& { return violation_; }
    /** Returns the most recent events of the run. */
    [[nodiscard]] auto trace() const -> const std::deque<std::string>& { return trace_; }

  private:
    struct queued_message {
        instant due_;
        std::string bytes_;
    };
    struct link {
        std::size_t lower_ = 0; ///< Index of the subscriber's process.
        std::size_t upper_ = 0; ///< Index of the publisher's process.
        subscriber_id id_ = 0;
        bool is_lower_open_ = true;
        bool is_upper_open_ = true;
        bool has_lost_data_ = false;
        bool is_silent_ = false; ///< Drops everything without either end noticing.
        instant upper_closes_at_{instant::max()};
        std::deque<queued_message> up_;
        std::deque<queued_message> down_;
    };
    struct process {
        std::string name_;
        bool is_control_ = false;
        bool is_node_ = false;
        bool is_running_ = false;
        instant restarts_at_{};
        duration clock_offset_{0};
        std::optional<publisher> publisher_;
        std::optional<subscriber> subscriber_;
        std::vector<std::size_t> upstreams_;
        std::size_t current_upstream_ = 0; ///< Index into upstreams_.
        instant next_dial_at_{};
        std::optional<std::size_t> previous_upstream_;
        std::shared_ptr<link> link_;
        // Control processes only.
        std::size_t applied_version_ = 0; ///< Kept across restarts.
        bool is_isolated_ = false;
        instant proof_due_at_{instant::max()};
        // Nodes only.
        std::optional<target_registry> registry_;
        target_directory directory_;
        instant next_announcement_at_{};
        bool draining_ = false;
        std::size_t accepted_version_at_start_ = 0; ///< Highest accepted version when it started.
        std::uint64_t highest_enforced_ = 0;        ///< Kept across restarts.
        std::uint64_t highest_rollouts_ = 0; ///< Highest sequence in force; kept across restarts.
        std::shared_ptr<const route_table> routes_;
    };
    struct control_message {
        instant due_;
        std::size_t to_ = 0;
        target_report report_;
    };

    void add_process(std::string name, std::vector<std::size_t> upstreams);
    void start(process& proc);
    void stop(std::size_t index);
    void accept_version();
    void step();
    void inject_fault();
    void heal();
    void crash(std::size_t index);
    void advance(duration span);
    void isolate_control(std::size_t index);
    void reconnect_control(std::size_t index);
    void exchange_targets();
    void step_control(std::size_t index);
    void step_subscriber(std::size_t index);
    void step_targets(std::size_t index);
    void dial(std::size_t index);
    void close_from_subscriber(std::size_t index);
    void step_link(link& connection);
    void deliver_up(link& connection, const std::string& bytes);
    void deliver_down(link& connection, const std::string& bytes);
    void enqueue(link& connection, bool is_up, std::string bytes);
    void process_publisher_output(std::size_t index);
    void process_subscriber_output(std::size_t index);
    void on_node_output(std::size_t index, const subscriber_output& output);
    void on_relay_output(std::size_t index, const subscriber_output& output);
    void propagate_changes(std::size_t index, const std::vector<target_record>& changed);
    void publish_routes(std::size_t index);
    void check_enforced(std::size_t index, const table& enforced);
    void check_rollouts(std::size_t index);
    void prove(process& proc, std::size_t version);
    void check_routes(std::size_t index);
    [[nodiscard]] auto disagreement() -> std::string;
    [[nodiscard]] auto describe_knowledge(const target_record& record) const -> std::string;
    void wait_for_agreement();
    void check_drain();
    void check_node_failure();
    [[nodiscard]] auto find_node_routing_to(const std::string& target) const -> std::string;
    [[nodiscard]] auto is_blocked(std::size_t lower, std::size_t upper, bool is_up) const -> bool;
    [[nodiscard]] auto local_time(const process& proc) const -> instant;
    [[nodiscard]] auto random_below(std::uint64_t bound) -> std::size_t;
    [[nodiscard]] auto one_in(unsigned denominator) -> bool;
    void trace_event(std::string event);
    void report_violation(std::string message);

    simulation_options options_;
    random_hook random_;
    instant now_{};
    std::vector<process> processes_;
    std::vector<std::shared_ptr<link>> links_;
    std::vector<control_message> control_messages_;
    std::vector<table_pointer> accepted_;
    std::set<std::pair<std::size_t, std::size_t>> blocked_; ///< From, to.
    subscriber_id next_id_ = 1;
    std::string violation_;
    std::deque<std::string> trace_;
};

} // namespace sycamorewinch::test
