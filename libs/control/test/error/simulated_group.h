/** \file
 * A control group under virtual time: replicas on fake disks and a fake network, operators who
 * race and send again, and faults drawn from a seed. What must always hold is checked at each step.
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

/** What must always hold. */
enum class group_rule : std::uint8_t {
    one_leader_per_term,
    committed_entries_stay,
    accepted_edits_stay,
    one_table_per_version,
    version_never_lowers,
    first_outcome_stays,
    proof_is_current,
    group_recovers,
    program_invariant,
};

/** A deliberately broken variant, which shows that a rule bites. */
enum class broken_variant : std::uint8_t {
    none,
    votes_are_forgotten,    ///< Votes are not written.
    writes_are_not_synced,  ///< Power loss undoes what was acknowledged.
    payloads_are_forged,    ///< A follower receives other commands than the leader stored.
    outcomes_are_forgotten, ///< Only the latest edit id is remembered.
    proof_without_quorum,   ///< Whoever believes to lead answers from its own state.
    disks_are_wiped,        ///< A restart finds an empty disk under the old identity.
    never_elects,           ///< No vote request arrives.
};

/** One broken rule. */
struct violation {
    group_rule rule_ = group_rule::program_invariant;
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

    /** Runs \p steps under faults, then heals everything and checks that the group recovers. */
    void run(std::uint64_t steps);

    [[nodiscard]] auto violations() const -> const std::vector<violation>& { return violations_; }
    [[nodiscard]] auto broke(group_rule rule) const -> bool;
    /** Returns seed, violations and trace, with the command that replays the run. */
    [[nodiscard]] auto report() const -> std::string;
    [[nodiscard]] auto snapshots_made() const -> std::uint64_t { return snapshots_made_; }
    [[nodiscard]] auto snapshots_installed() const -> std::uint64_t { return snapshots_installed_; }
    [[nodiscard]] auto accepted_count() const -> std::size_t { return accepted_.size(); }

  private:
    struct process {
        explicit process(random_hook random) : disk_(std::move(random)) {}

        std::string name_;
        fake_disk disk_;
        std::optional<replica_store> store_;
        std::unique_ptr<control_replica> replica_; ///< Null while the process is down.
        duration clock_offset_{};
        instant paused_until_{};
        instant restart_at_{};
        std::uint64_t life_ = 0;
        std::uint64_t snapshots_made_ = 0;
        std::uint64_t snapshots_installed_ = 0;
        std::uint64_t version_ = 0; ///< Highest version published in this life.
    };
    struct flight {
        raft_message message_;
        std::uint64_t sequence_ = 0;
    };
    /** One operator, who waits for one answer at a time. */
    struct operator_state {
        std::optional<accept_command> edit_;
        instant send_at_{};
        table_version base_;
    };

    [[nodiscard]] auto goes_on() const -> bool;
    void step();
    void step_process(process& process);
    void start_process(process& process);
    void end_process(process& process, bool loses_power);
    [[nodiscard]] auto make_hooks(process& process) -> control_hooks;
    /** Runs \p work on a process; a broken invariant inside becomes a violation. */
    void guard(process& process, const std::function<void(control_replica&, instant)>& work);

    void send(const process& from, const raft_message& message);
    void deliver();
    void forge(raft_message& message) const;

    void strike();
    void strike_network();
    void strike_processes();
    void heal();

    void step_operators();
    void submit(const accept_command& command);
    void take_answer(const accept_command& command, std::uint64_t version_before,
                     const result<accept_outcome>& outcome);
    void make_edit(operator_state& user, std::size_t number);
    void ask_proof();

    void check_leaders();
    void on_committed(const process& process, const log_entry& entry);
    void on_table(process& process, const table_pointer& table);
    void check_recovered();
    void fail(group_rule rule, std::string text);
    void trace(std::string text);
    [[nodiscard]] auto chance(std::uint64_t one_in) const -> bool;
    [[nodiscard]] auto any_process() -> process&;
    [[nodiscard]] auto now_of(const process& process) const -> instant;

    std::uint64_t seed_;
    broken_variant variant_;
    random_hook random_;
    std::uint64_t faults_ = 0; ///< Bit set of the fault kinds of this run.
    bool striking_ = true;
    instant now_{};
    std::uint64_t step_ = 0;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<process>> processes_;
    std::multimap<instant, flight> flights_;
    std::uint64_t next_sequence_ = 0;
    std::set<std::pair<std::string, std::string>> cut_; ///< From, to.
    std::vector<operator_state> operators_;
    std::vector<accept_command> sent_;

    std::map<std::uint64_t, std::string> leaders_;         ///< By term.
    std::map<std::uint64_t, log_entry> committed_;         ///< By index.
    std::map<std::uint64_t, digest> tables_;               ///< By version number.
    std::map<std::uint64_t, std::string> accepted_;        ///< Acknowledged edit by version.
    std::map<std::string, accept_outcome> first_outcomes_; ///< By edit id.
    std::uint64_t highest_accepted_ = 0;
    std::uint64_t snapshots_made_ = 0;
    std::uint64_t snapshots_installed_ = 0;
    std::vector<violation> violations_;
    std::deque<std::string> trace_;
};

} // namespace sycamorewinch::test
