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
#include "control/replicated_state.h"
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
    /** Sends a message to another replica. */
    std::function<void(const raft_message& message)> send_;
    /** A newer table was accepted. */
    std::function<void(const table_pointer& table)> on_table_;
    /** The disk failed; the replica has stopped taking part. */
    std::function<void(const error& problem)> on_disk_failure_;
    /** Asks for flush() soon, so that what arrives until then shares one sync. Empty: no waiting.
     */
    std::function<void()> request_flush_;
    /** A committed entry is about to be applied; may be empty. */
    std::function<void(const log_entry& entry)> on_committed_;
    /** What the replicated state remembers; the same on every replica. */
    state_limits limits_;
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

    /** Applies a batch to the record of unrepeatable requests. On a replica that does not lead,
     * fails at once. */
    void apply_runs(const run_batch& batch, runs_callback callback, instant now);

    /** Proves the current version's number by a quorum. */
    void prove_current(proof_callback callback, instant now);

    [[nodiscard]] auto raft_state() const -> const raft& { return raft_; }
    [[nodiscard]] auto state() const -> const replicated_state& { return state_; }
    [[nodiscard]] auto runs() const -> const run_records& { return runs_; }
    /** Returns whether a write failed; the replica then takes no further part. */
    [[nodiscard]] auto disk_failed() const -> bool { return disk_failed_; }

  private:
    control_replica(raft replica, control_hooks hooks)
        : raft_(std::move(replica)), hooks_(std::move(hooks)), state_(hooks_.limits_)
    {
    }

    void flush_soon();
    void run_output();
    [[nodiscard]] auto persist(const raft_output& output) -> result<void>;
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
    replicated_state state_;
    run_records runs_;
    std::map<std::uint64_t, waiting_accept> accepts_;   ///< By log index.
    std::map<std::uint64_t, waiting_runs> run_batches_; ///< By log index.
    std::map<std::uint64_t, proof_callback> proofs_;    ///< By read token.
    std::uint64_t next_token_ = 1;
    bool disk_failed_ = false;
    bool flush_is_due_ = false;
};

} // namespace sycamorewinch
