/** \file
 * One control replica: Raft consensus, durable storage and the replicated state.
 *
 * Disk and network are hooks and the time is a parameter, so that tests can run whole groups under
 * virtual time.
 */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "control/control_command.h"
#include "control/control_snapshot.h"
#include "control/write_queue.h"
#include "run_record/run_records.h"

namespace sycamorewinch {

/** The functions through which a replica accesses its disk, its peers and its owner. */
struct control_hooks {
    /** Makes a vote durable. */
    std::function<result<void>(const vote_state& vote)> save_vote_;
    /** Removes stored entries after an index. */
    std::function<result<void>(std::uint64_t index)> truncate_after_;
    /** Makes entries durable. */
    std::function<result<void>(const std::vector<log_entry>& entries)> append_;
    /** Makes a snapshot and the entries after it durable, replacing the stored snapshot and log. */
    std::function<result<void>(const log_snapshot& snapshot, const std::vector<log_entry>& entries)>
        save_snapshot_;
    /** Performs \p write, which calls the four hooks above, in the background, and then calls
     * \p done, in the replica's thread and not from within this hook. Not called again before that.
     * Heartbeats and elections go on meanwhile. Empty: writes are performed at once, and the
     * replica does nothing until they have ended. */
    std::function<void(std::function<result<void>()> write,
                       std::function<void(const result<void>& outcome, instant now)> done)>
        run_in_background_;
    /** Reads the disk again after a failed write and makes its content durable. Empty: after a
     * failed write the replica stays out of the group until it is restarted. */
    std::function<result<durable_state>()> reload_;
    /** Returns whether the disk has space for new entries; may be empty. */
    std::function<bool()> has_disk_space_;
    /** Sends a message to another replica. */
    std::function<void(const raft_message& message)> send_;
    /** Called when a newer table version becomes current; once for edits committed together. */
    std::function<void(const table_pointer& table)> on_table_;
    /** Called when the part of the roll-outs that nodes route by has changed; once for commands
     * committed together; may be empty. */
    std::function<void(const rollout_records& rollouts)> on_rollouts_;
    /** Called when a write failed; the replica is inactive until the disk has been read again. */
    std::function<void(const error& problem)> on_disk_failure_;
    /** Requests a call of flush() soon, so that inputs that arrive until then share one fsync.
     * Empty: each input is flushed at once. */
    std::function<void()> request_flush_;
    /** Called for what this replica decides about elections; may be empty. */
    std::function<void(const election_event& event)> on_election_;
    /** Called before a committed entry is applied; may be empty. */
    std::function<void(const log_entry& entry)> on_committed_;
    /** Limits of the replicated state; must be the same on every replica. */
    state_limits limits_;
    /** A snapshot is taken once the log has grown by more than this many bytes since the last one,
     * and by more than the size of that snapshot. */
    std::size_t snapshot_threshold_bytes_ = 4U * 1024 * 1024;
};

/** Receives the outcome of an accept command, or an error when the outcome is unknown. */
using accept_callback = std::function<void(const result<accept_outcome>& outcome)>;

/** Receives the number of the current table version, confirmed by a quorum, or an error when it
 * cannot be confirmed. */
using proof_callback = std::function<void(const result<std::uint64_t>& version)>;

/** Receives the results of a batch of run operations, or an error when they are unknown. */
using runs_callback = std::function<void(const result<std::vector<run_result>>& results)>;

/** Receives the effect of a roll-out command, or an error when it is unknown. */
using rollout_callback = std::function<void(const result<rollout_outcome>& outcome)>;

/** One control replica. Not thread-safe. */
class control_replica {
  public:
    [[nodiscard]] static auto create(raft_options options, durable_state state, control_hooks hooks,
                                     instant now) -> result<control_replica>;

    void tick(instant now);
    void receive(const raft_message& message, instant now);

    /** Persists, sends and answers what has accumulated since request_flush_ was called. */
    void flush();

    /** Proposes a new table version. Fails immediately on a replica that is not the leader, and, as
     * too_large, if the change does not fit into one entry of the log. */
    void accept(const accept_command& command, accept_callback callback, instant now);

    /** Proposes the next membership of the group; see raft::propose_membership(). */
    [[nodiscard]] auto propose_membership(const group_membership& next, instant now)
        -> result<std::uint64_t>;

    /** Steps down in favour of another voter; see raft::transfer_leadership(). */
    auto transfer_leadership(instant now) -> bool;

    /** Proposes a batch of operations on the record of non-idempotent requests. On a replica that
     * is not the leader, fails immediately. */
    void apply_runs(const run_batch& batch, runs_callback callback, instant now);

    /** Proposes a roll-out command. On a replica that is not the leader, fails immediately. */
    void apply_rollout(const rollout_command& command, rollout_callback callback, instant now);

    /** Gets the number of the current table version with a proof of currency: a quorum confirms
     * that this replica is the leader. */
    void prove_current(proof_callback callback, instant now);

    /** Returns how long ago state() was the newest state of the group, or nothing if this replica
     * does not know that; see raft::currency_age(). */
    [[nodiscard]] auto currency_age(instant now) const -> std::optional<duration>
    {
        const bool is_applied = applied_index_ >= raft_.commit_index() && !disk_failed_;
        return is_applied ? raft_.currency_age(now) : std::nullopt;
    }

    [[nodiscard]] auto raft_state() const -> const raft& { return raft_; }
    [[nodiscard]] auto state() const -> const replicated_state& { return state_.tables_; }
    [[nodiscard]] auto runs() const -> const run_records& { return state_.runs_; }
    [[nodiscard]] auto rollouts() const -> const rollout_records& { return state_.rollouts_; }
    /** Returns how many snapshots this replica has taken itself. */
    [[nodiscard]] auto snapshots_taken() const -> std::uint64_t { return snapshots_taken_; }
    /** Returns how many snapshots this replica has received from a leader. */
    [[nodiscard]] auto snapshots_installed() const -> std::uint64_t { return snapshots_installed_; }
    /** Returns whether a write failed and the disk has not been read again yet. */
    [[nodiscard]] auto disk_failed() const -> bool { return disk_failed_; }
    /** Returns whether all that this replica has decided to store is durable. */
    [[nodiscard]] auto is_stored() const -> bool { return !disk_failed_ && writes_.is_empty(); }

  private:
    control_replica(raft replica, control_hooks hooks)
        : raft_(std::move(replica)),
          hooks_(std::move(hooks)), state_{replicated_state(hooks_.limits_), run_records(),
                                           rollout_records()}
    {
    }

    void schedule_flush();
    void process_output();
    /** Stores \p write, or queues it if writes run in the background. */
    [[nodiscard]] auto store_or_queue(replica_write write) -> result<void>;
    [[nodiscard]] auto store(const replica_write& write) const -> result<void>;
    void send_or_hold(const raft_message& message);
    void begin_writes();
    void on_written(const write_batch& batch, const result<void>& outcome, instant now);
    void on_disk_failure(const error& problem);
    void try_reload(instant now);
    [[nodiscard]] auto check_can_propose() const -> result<void>;
    [[nodiscard]] auto propose(const control_command& command, instant now)
        -> result<std::uint64_t>;
    [[nodiscard]] auto restore(const log_snapshot& snapshot) -> result<void>;
    void take_snapshot();
    void compact(std::shared_ptr<const log_snapshot> snapshot);
    void apply(const log_entry& entry);
    void apply_accept(const log_entry& entry, const std::string& body);
    void apply_run_batch(const log_entry& entry, const std::string& body);
    void apply_rollout_command(const log_entry& entry, const std::string& body);
    void report_rollouts();
    void answer_reads(const raft_output& output);
    void fail_pending_requests();

    struct pending_accept {
        std::uint64_t term_ = 0;
        accept_callback callback_;
    };

    struct pending_run_batch {
        std::uint64_t term_ = 0;
        runs_callback callback_;
    };

    struct pending_rollout {
        std::uint64_t term_ = 0;
        rollout_callback callback_;
    };

    raft raft_;
    control_hooks hooks_;
    control_state state_;
    std::uint64_t applied_index_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
    std::size_t snapshot_bytes_ = 0;
    std::uint64_t snapshots_taken_ = 0;
    std::uint64_t snapshots_installed_ = 0;
    std::map<std::uint64_t, pending_accept> pending_accepts_;        ///< By log index.
    std::map<std::uint64_t, pending_run_batch> pending_run_batches_; ///< By log index.
    std::map<std::uint64_t, pending_rollout> pending_rollouts_;      ///< By log index.
    std::map<std::uint64_t, proof_callback> pending_proofs_;         ///< By read token.
    std::uint64_t next_read_token_ = 1;
    std::uint64_t reported_rollout_sequence_ = 0; ///< Passed to on_rollouts_ last.
    bool disk_failed_ = false;
    instant reload_due_{};
    instant now_{}; ///< Time passed to the latest call.
    bool flush_scheduled_ = false;
    write_queue writes_; ///< Those that run in the background.
    /** A snapshot that this replica has taken and that is not durable yet; null for none. */
    std::shared_ptr<const log_snapshot> own_snapshot_;
};

} // namespace sycamorewinch
