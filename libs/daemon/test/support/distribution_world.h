/** \file
 * A few processes' worth of distribution logic on one thread under virtual time: control stand-ins,
 * relays, and nodes with a target each, joined by connections that fail.
 *
 * \code
 * distribution_world world({.seed_ = 7, .steps_ = 4000});
 * world.run();
 * BOOST_TEST(world.violation().empty());
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

/** A mistake put in on purpose, to show that the invariants see it. */
enum class broken_variant : std::uint8_t {
    none,
    proof_without_quorum,   ///< A cut-off control process goes on proving what it has.
    forged_row,             ///< A relay changes a row and its digest on the way.
    partial_table,          ///< A node leaves out a row of the table it enforces.
    routes_to_gone,         ///< Routes are made from targets that are draining or gone too.
    captive_of_upstream,    ///< Nobody leaves an upstream that cannot prove itself.
    drain_not_told,         ///< News of a draining target is lost.
    incarnation_not_raised, ///< A node does not refute newer news of itself.
    leases_never_end        ///< Hubs keep the targets of nodes that are dead.
};

/** Returns the name of one of the services in the run. */
[[nodiscard]] auto service_name(std::size_t index) -> std::string;

/** One run. */
struct world_options {
    std::uint64_t seed_ = 1;
    int steps_ = 4000; ///< Steps of 20 ms with faults; calm steps follow.
    broken_variant variant_ = broken_variant::none;
};

/** The processes and what joins them. */
class distribution_world {
  public:
    explicit distribution_world(world_options options);

    /** Runs the faults, heals them, and waits for all nodes to agree. Stops at a violation. */
    void run();

    /** Returns what was broken, or nothing. */
    [[nodiscard]] auto violation() const -> const std::string& { return violation_; }
    /** Returns the last events before the end. */
    [[nodiscard]] auto trace() const -> const std::deque<std::string>& { return trace_; }

  private:
    struct letter {
        instant due_;
        std::string bytes_;
    };
    struct link {
        std::size_t lower_ = 0;
        std::size_t upper_ = 0;
        subscriber_id id_ = 0;
        bool lower_open_ = true;
        bool upper_open_ = true;
        bool lost_something_ = false;
        bool silent_ = false; ///< Something between the two ends has lost track of it.
        instant upper_closes_{instant::max()};
        std::deque<letter> up_;
        std::deque<letter> down_;
    };
    struct process {
        std::string name_;
        bool is_control_ = false;
        bool is_node_ = false;
        bool running_ = false;
        instant starts_at_{};
        duration clock_offset_{0};
        std::optional<publisher> publisher_;
        std::optional<subscriber> subscriber_;
        std::vector<std::size_t> upstreams_;
        std::size_t current_ = 0;
        instant dials_at_{};
        std::optional<std::size_t> last_upstream_;
        std::shared_ptr<link> link_;
        // Control stand-ins.
        std::size_t applied_ = 0; ///< Survives restarts.
        bool cut_off_ = false;
        instant proof_at_{instant::max()};
        // Nodes.
        std::optional<target_registry> registry_;
        target_directory directory_;
        instant announces_at_{};
        bool draining_ = false;
        std::size_t accepted_at_start_ = 0;  ///< Versions accepted when it started.
        std::uint64_t highest_enforced_ = 0; ///< Over all its lives.
        std::shared_ptr<const route_table> routes_;
    };
    struct control_letter {
        instant due_;
        std::size_t to_ = 0;
        target_report report_;
    };

    void add_process(std::string name, std::vector<std::size_t> upstreams);
    void start(process& one);
    void stop(std::size_t index);
    void accept_version();
    void step();
    void inject_fault();
    void heal();
    void crash(std::size_t index);
    void pass(duration span);
    void cut_control(std::size_t index);
    void rejoin_control(std::size_t index);
    void exchange_targets();
    void step_control(std::size_t index);
    void step_subscriber(std::size_t index);
    void step_targets(std::size_t index);
    void dial(std::size_t index);
    void close_from_below(std::size_t index);
    void step_link(link& one);
    void deliver_up(link& one, const std::string& bytes);
    void deliver_down(link& one, const std::string& bytes);
    void post(link& one, bool is_up, std::string bytes);
    void run_hub(std::size_t index);
    void run_subscriber(std::size_t index);
    void on_node_output(std::size_t index, const subscriber_output& output);
    void on_relay_output(std::size_t index, const subscriber_output& output);
    void tell(std::size_t index, const std::vector<target_record>& changed);
    void publish_routes(std::size_t index);
    void check_enforced(std::size_t index, const table& enforced);
    void check_routes(std::size_t index);
    [[nodiscard]] auto disagreement() -> std::string;
    [[nodiscard]] auto knowledge_of(const target_record& record) const -> std::string;
    void wait_for_agreement();
    void check_drain();
    void check_death();
    [[nodiscard]] auto gives_work_to(const std::string& target) const -> std::string;
    [[nodiscard]] auto is_blocked(std::size_t lower, std::size_t upper, bool is_up) const -> bool;
    [[nodiscard]] auto local_time(const process& one) const -> instant;
    [[nodiscard]] auto below(std::uint64_t bound) -> std::size_t;
    [[nodiscard]] auto chance(unsigned one_in) -> bool;
    void note(std::string event);
    void fail(std::string what);

    world_options options_;
    random_hook random_;
    instant now_{};
    std::vector<process> processes_;
    std::vector<std::shared_ptr<link>> links_;
    std::vector<control_letter> control_letters_;
    std::vector<table_pointer> accepted_;
    std::set<std::pair<std::size_t, std::size_t>> blocked_; ///< From, to.
    subscriber_id next_id_ = 1;
    std::string violation_;
    std::deque<std::string> trace_;
};

} // namespace sycamorewinch::test
