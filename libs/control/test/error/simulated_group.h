/** \file
 * A simulated control group under virtual time: replicas on fake disks and a fake network,
 * operators that submit concurrent edits and resend them, and faults drawn from a seed. The safety
 * properties are checked at each step, recovery at the end.
 *
 * \code
 * simulated_group group(seed, {});
 * group.run(3000);
 * BOOST_TEST(group.violations().empty(), group.report());
 * \endcode
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/control_replica.h"
#include "control/test/error/fake_disk.h"
#include "storage/replica_store.h"

namespace sycamorewinch::test {

/** The properties that are checked. */
enum class group_property : std::uint8_t {
    one_leader_per_term,
    committed_entries_never_change,
    accepted_edits_are_kept,
    one_table_per_version,
    version_never_decreases,
    first_outcome_is_final,
    proof_is_current,
    group_recovers,
    program_invariant,
};

/** A deliberately broken variant of the system, to show that a check detects the violation. */
enum class broken_variant : std::uint8_t {
    none,
    votes_are_not_stored,
    writes_are_not_synced,     ///< Power loss drops acknowledged writes.
    payloads_are_altered,      ///< Followers receive other commands than the leader stored.
    outcomes_are_not_retained, ///< Only the outcome of the latest edit is retained.
    proof_without_quorum,      ///< A replica in the leader role answers from its own state.
    disks_are_wiped,           ///< A restart finds an empty disk and skips recovery.
    vote_requests_are_dropped,
    writes_are_reported_early, ///< As durable, some time before they are.
};

/** One violation of a property. */
struct violation {
    group_property property_ = group_property::program_invariant;
    std::string text_;
};

/** The simulated group. */
class simulated_group {
  public:
    simulated_group(std::uint64_t seed, broken_variant variant);
    simulated_group(const simulated_group&) = delete;
    auto operator=(const simulated_group&) -> simulated_group& = delete;
    simulated_group(simulated_group&&) = delete;
    auto operator=(simulated_group&&) -> simulated_group& = delete;
    ~simulated_group();

    /** Runs \p steps with faults, then ends all faults and checks that the group recovers. */
    void run(std::uint64_t steps);

    [[nodiscard]] auto violations() const -> const std::vector<violation>& { return violations_; }
    [[nodiscard]] auto is_violated(group_property property) const -> bool;
    /** Returns the seed, the command that replays the run, the violations and the trace. */
    [[nodiscard]] auto report() const -> std::string;
    [[nodiscard]] auto snapshots_taken() const -> std::uint64_t { return snapshots_taken_; }
    [[nodiscard]] auto snapshots_installed() const -> std::uint64_t { return snapshots_installed_; }
    [[nodiscard]] auto disks_lost() const -> std::uint64_t { return disks_lost_; }
    [[nodiscard]] auto accepted_count() const -> std::size_t { return accepted_.size(); }

  private:
    /** A write in the background. */
    struct pending_write {
        std::function<result<void>()> write_;
        std::function<void(const result<void>& outcome, instant now)> done_;
        instant due_{};
    };
    struct process {
        explicit process(random_hook random) : disk_(std::move(random)) {}

        std::string name_;
        fake_disk disk_;
        std::optional<replica_store> store_;
        std::unique_ptr<control_replica> replica_; ///< Null while the process is down.
        std::deque<pending_write> writes_;         ///< In their order.
        duration clock_offset_{};
        instant paused_until_{};
        instant restart_at_{};
        std::uint64_t incarnation_ = 0;
        std::uint64_t snapshots_taken_ = 0;
        std::uint64_t snapshots_installed_ = 0;
        std::uint64_t version_ = 0; ///< Highest table version published since the process started.
    };
    struct in_flight_message {
        raft_message message_;
        std::uint64_t sequence_ = 0;
    };
    /** One operator, with at most one unanswered edit. */
    struct operator_state {
        std::optional<accept_command> edit_;
        instant send_at_{};
        table_version base_;
    };

    [[nodiscard]] auto should_continue() const -> bool;
    void step();
    void step_process(process& process);
    void start_process(process& process);
    void end_process(process& process, bool loses_power);
    void begin_write(process& process, pending_write write);
    void finish_writes(process& process);
    [[nodiscard]] auto make_hooks(process& process) -> control_hooks;
    /** Runs \p work on a process; a broken invariant in it is recorded as a violation. */
    void run_on_process(process& process,
                        const std::function<void(control_replica&, instant)>& work);

    void send(const process& from, const raft_message& message);
    void deliver();
    void alter_payloads(raft_message& message) const;

    void inject_faults();
    void inject_network_faults();
    void inject_process_faults();
    void lose_disk();
    void end_faults();

    void step_operators();
    void submit(const accept_command& command);
    void handle_answer(const accept_command& command, std::uint64_t version_before,
                       const result<accept_outcome>& outcome);
    void make_edit(operator_state& user, std::size_t number);
    void request_proof();

    void check_leaders();
    void on_committed(const process& process, const log_entry& entry);
    void on_table(process& process, const table_pointer& table);
    void check_recovered();
    void fail(group_property property, std::string text);
    void trace(std::string text);
    [[nodiscard]] auto chance(std::uint64_t one_in) const -> bool;
    [[nodiscard]] auto random_process() -> process&;
    [[nodiscard]] auto now_of(const process& process) const -> instant;

    std::uint64_t seed_;
    broken_variant variant_;
    random_hook random_;
    std::uint64_t faults_ = 0; ///< Bit set of the fault kinds enabled in this run.
    bool injecting_faults_ = true;
    instant now_{};
    std::uint64_t step_ = 0;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<process>> processes_;
    std::multimap<instant, in_flight_message> in_flight_messages_;
    std::uint64_t next_sequence_ = 0;
    std::set<std::pair<std::string, std::string>> blocked_links_; ///< From, to.
    std::vector<operator_state> operators_;
    std::vector<accept_command> sent_;

    std::map<std::uint64_t, std::string> leaders_;         ///< By term.
    std::map<std::uint64_t, log_entry> committed_;         ///< By index.
    std::map<std::uint64_t, digest> tables_;               ///< By version number.
    std::map<std::uint64_t, std::string> accepted_;        ///< Acknowledged edit id by version.
    std::map<std::string, accept_outcome> first_outcomes_; ///< By edit id.
    std::uint64_t highest_accepted_ = 0;
    std::uint64_t snapshots_taken_ = 0;
    std::uint64_t snapshots_installed_ = 0;
    std::uint64_t disks_lost_ = 0;
    std::vector<violation> violations_;
    std::deque<std::string> trace_;
};

} // namespace sycamorewinch::test
