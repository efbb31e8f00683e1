/** \file
 * One control replica: consensus, its durable store and the replicated state together.
 *
 * Disk, network and clock are hooks, so that tests run whole groups under virtual time.
 */
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "control/control_snapshot.h"
#include "run_record/run_records.h"

namespace sycamorewinch {

/** How a replica reaches its disk and its peers. */
struct control_hooks {
    /** Makes a vote durable. */
    std::function<result<void>(const vote_state& vote)> save_vote_;
    /** Drops stored entries above an index. */
    std::function<result<void>(std::uint64_t index)> truncate_after_;
    /** Makes entries durable. */
    std::function<result<void>(const std::vector<log_entry>& entries)> append_;
    /** Makes a snapshot and the entries behind it durable, in place of what is stored. */
    std::function<result<void>(const log_snapshot& snapshot, const std::vector<log_entry>& entries)>
        save_snapshot_;
    /** Reads the disk again after a failed write and makes what it holds durable. Empty: a failed
     * write ends the replica's part for good. */
    std::function<result<durable_state>()> reload_;
    /** Returns whether the disk has room for new entries; may be empty. */
    std::function<bool()> has_disk_space_;
    /** Sends a message to another replica. */
    std::function<void(const raft_message& message)> send_;
    /** A newer table was accepted. */
    std::function<void(const table_pointer& table)> on_table_;
    /** A write failed; the replica takes no part until the disk is read again. */
    std::function<void(const error& problem)> on_disk_failure_;
    /** Asks for flush() soon, so that what arrives until then shares one sync. Empty: no waiting.
     */
    std::function<void()> request_flush_;
    /** A committed entry is about to be applied; may be empty. */
    std::function<void(const log_entry& entry)> on_committed_;
    /** What the replicated state remembers; the same on every replica. */
    state_limits limits_;
    /** A snapshot replaces the log when it has grown by this much, and by the last snapshot's size.
     */
    std::size_t snapshot_after_bytes_ = 4U * 1024 * 1024;
};

/** Receives the outcome of an accept command, or why it is not known. */
using accept_callback = std::function<void(const result<accept_outcome>& outcome)>;

/** Receives the current version's number, proved by a quorum, or why it cannot be proved. */
using proof_callback = std::function<void(const result<std::uint64_t>& version)>;

/** Receives the results of a batch of run operations, or why they are not known. */
using runs_callback = std::function<void(const result<std::vector<run_result>>& results)>;

/** One control replica. */
class control_replica {
  public:
    [[nodiscard]] static auto create(raft_options options, durable_state state, control_hooks hooks,
                                     instant now) -> result<control_replica>;

    void tick(instant now);
    void receive(const raft_message& message, instant now);

    /** Writes, sends and answers what was put off by the hook request_flush_. */
    void flush();

    /** Proposes a new version. On a replica that does not lead, fails at once. */
    void accept(const accept_command& command, accept_callback callback, instant now);

    /** Proposes the group's next membership; see raft::propose_membership(). */
    [[nodiscard]] auto propose_membership(const group_membership& next, instant now)
        -> result<std::uint64_t>;

    /** Applies a batch to the record of unrepeatable requests. On a replica that does not lead,
     * fails at once. */
    void apply_runs(const run_batch& batch, runs_callback callback, instant now);

    /** Proves the current version's number by a quorum. */
    void prove_current(proof_callback callback, instant now);

    [[nodiscard]] auto raft_state() const -> const raft& { return raft_; }
    [[nodiscard]] auto state() const -> const replicated_state& { return state_.tables_; }
    [[nodiscard]] auto runs() const -> const run_records& { return state_.runs_; }
    /** Returns how many snapshots this replica made, and how many it received. */
    [[nodiscard]] auto snapshots_made() const -> std::uint64_t { return snapshots_made_; }
    [[nodiscard]] auto snapshots_installed() const -> std::uint64_t { return snapshots_installed_; }
    /** Returns whether a write failed and the disk was not read again yet. */
    [[nodiscard]] auto disk_failed() const -> bool { return disk_failed_; }

  private:
    control_replica(raft replica, control_hooks hooks)
        : raft_(std::move(replica)),
          hooks_(std::move(hooks)), state_{replicated_state(hooks_.limits_), run_records()}
    {
    }

    void flush_soon();
    void run_output();
    [[nodiscard]] auto persist(const raft_output& output) -> result<void>;
    void on_disk_failure(const error& problem);
    void try_reload(instant now);
    [[nodiscard]] auto check_can_propose() const -> result<void>;
    [[nodiscard]] auto restore(const log_snapshot& snapshot) -> result<void>;
    void make_snapshot();
    void apply(const log_entry& entry);
    void apply_accept(const log_entry& entry, const std::string& body);
    void apply_run_batch(const log_entry& entry, const std::string& body);
    void answer_reads(const raft_output& output);
    void fail_waiting();

    struct waiting_accept {
        std::uint64_t term_ = 0;
        accept_callback callback_;
    };

    struct waiting_runs {
        std::uint64_t term_ = 0;
        runs_callback callback_;
    };

    raft raft_;
    control_hooks hooks_;
    control_state state_;
    std::uint64_t applied_index_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
    std::size_t snapshot_bytes_ = 0;
    std::uint64_t snapshots_made_ = 0;
    std::uint64_t snapshots_installed_ = 0;
    std::map<std::uint64_t, waiting_accept> accepts_;   ///< By log index.
    std::map<std::uint64_t, waiting_runs> run_batches_; ///< By log index.
    std::map<std::uint64_t, proof_callback> proofs_;    ///< By read token.
    std::uint64_t next_token_ = 1;
    bool disk_failed_ = false;
    instant reload_due_{};
    instant now_{}; ///< As last passed in.
    bool flush_is_due_ = false;
};

} // namespace sycamorewinch
