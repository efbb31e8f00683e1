/** \file
 * One replica of the control group, as a deterministic state machine without I/O. Its inputs are
 * messages, proposals and the time; its outputs are messages to send, entries to make durable and
 * committed entries to apply.
 *
 * The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014). With these extensions:
 *  - Lease: a leader that has had no replies from a quorum for one lease steps down, so that a
 *    partitioned leader stops claiming to be current.
 *  - Pre-vote: a replica asks whether it could win before it raises the term, so that one returning
 *    from a partition does not depose a leader that the others still hear from.
 *  - Pipelining: a leader sends further appends before the earlier ones are acknowledged, up to a
 *    limit of bytes in flight.
 *  - Snapshots: a replica that is behind the compacted log is sent a snapshot in chunks.
 *  - Membership changes: voters change one at a time, through entries of the log itself.
 *  - Leadership transfer: a leader that ends or is removed steps down in favour of another voter.
 *  - Recovery: a replica that lost its disk rejoins safely; see raft_recovery.cpp.
 *
 * The owner must make the vote and the entries of an output durable before it sends the messages:
 *
 * \code
 * replica.receive(message, now);
 * auto output = replica.take_output();
 * if (output.install_) save_snapshot(*output.install_, output.append_); // with fsync
 * else store(output.vote_, output.truncate_after_, output.append_); // with fsync
 * for (auto& message : output.messages_) send(message);
 * for (auto& entry : output.committed_) apply(entry);
 * \endcode
 *
 * An owner that stores in the background, with raft_options::reports_storage_, holds back only the
 * messages that say that something is stored, and reports with on_stored() and on_vote_stored().
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "consensus/election_event.h"
#include "consensus/group_membership.h"
#include "consensus/log_entry.h"
#include "consensus/peer_progress.h"
#include "consensus/raft_message.h"
#include "consensus/replicated_log.h"

namespace sycamorewinch {

/** The configuration of a replica. */
struct raft_options {
    std::string self_; ///< This replica's name.
    /** All replicas of a group with fixed membership, including this one. Empty: the membership
     * is dynamic and comes from the log; a replica whose log has none waits to be added. */
    std::vector<std::string> voters_;
    duration heartbeat_ = std::chrono::milliseconds(50);
    duration lease_ = std::chrono::milliseconds(300); ///< Also the shortest election timeout.
    random_hook random_;
    /** Entries before the snapshot that are kept in memory, so that slightly lagging replicas are
     * sent entries instead of the snapshot. */
    std::uint64_t retained_entries_ = 1024;
    /** The owner reports when entries and votes have become durable. Otherwise they count as
     * durable as soon as they are in an output. */
    bool reports_storage_ = false;
};

/** The role of a replica in its current term. */
enum class raft_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/** Returns the name of \p role for logs. */
[[nodiscard]] auto name_of(raft_role role) -> std::string_view;

/** A linearizable read whose leader was confirmed by a quorum. */
struct confirmed_read {
    std::uint64_t token_ = 0; ///< As given to request_read().
    std::uint64_t index_ = 0; ///< Serve the read only once this entry is applied.
};

/** The work for the owner of a replica, to be done in the order of the members. */
struct raft_output {
    std::optional<vote_state> vote_; ///< Make durable.
    /** Make durable in place of the stored snapshot and log (append_ then holds all remaining
     * entries), then restore the state from it. */
    std::shared_ptr<const log_snapshot> install_;
    std::optional<std::uint64_t> truncate_after_; ///< Remove stored entries after this index.
    std::vector<log_entry> append_;               ///< Make durable.
    std::vector<raft_message> messages_;          ///< Send.
    std::vector<log_entry> committed_;            ///< Apply, in order.
    std::vector<confirmed_read> reads_;           ///< Answer once committed_ is applied.
    std::vector<std::uint64_t> failed_reads_;     ///< Fail with "not the leader".
    std::vector<election_event> elections_;       ///< Log.
};

/** One replica. Not thread-safe. */
class raft {
  public:
    /** Creates a replica from its durable state. Fails with invalid_input when voters_ does not
     * include self_, and with corrupt when the stored log has a gap. */
    [[nodiscard]] static auto create(raft_options options, durable_state state, instant now)
        -> result<raft>;

    /** Processes timers: elections, heartbeats, lease. Call every few milliseconds. */
    void tick(instant now);

    /** Processes a message from another replica. */
    void receive(const raft_message& message, instant now);

    /** Appends a command to the log and returns its index. On a replica that is not the leader,
     * fails with unavailable and names the leader if it is known. */
    [[nodiscard]] auto propose(std::string command, instant now) -> result<std::uint64_t>;

    /** Processes that the entries up to \p index, the last of which has \p term, are durable. Only
     * from then on does a leader count its own copies toward a quorum. */
    void on_stored(std::uint64_t index, std::uint64_t term, instant now);

    /** Processes that the latest vote is durable. The time in which a candidate waits for votes,
     * and a voter for its leader, begins now. */
    void on_vote_stored(instant now);

    /** Returns the last entry that is known to be durable here and part of the current log. */
    [[nodiscard]] auto stored_index() const -> std::uint64_t
    {
        return options_.reports_storage_ ? stored_index_ : log_.last_index();
    }

    /** Requests confirmation by a quorum that this replica is the leader (the ReadIndex protocol).
     * The answer comes in raft_output::reads_ or raft_output::failed_reads_ under \p token. */
    void request_read(std::uint64_t token, instant now);

    /** Discards the entries covered by \p snapshot, which must be durable. The last
     * raft_options::retained_entries_ of them stay in memory. */
    void compact(std::shared_ptr<const log_snapshot> snapshot);

    /** Appends \p next to the log as the new membership and returns the index of its entry. Fails
     * with unavailable when this replica is not the leader or the previous change is not committed
     * yet, and with invalid_input when is_valid_change() forbids the change. */
    [[nodiscard]] auto propose_membership(const group_membership& next, instant now)
        -> result<std::uint64_t>;

    /** Steps down in favour of a voter that stores the whole log, which stands for election at
     * once. Returns false, and goes on leading, if there is none or an entry is not committed yet.
     * After stepping down this replica claims neither leadership nor currency, as its successor
     * does not wait for the lease to end. */
    auto transfer_leadership(instant now) -> bool;

    /** Returns the membership in force. */
    [[nodiscard]] auto membership() const -> const group_membership&
    {
        return memberships_.rbegin()->second;
    }
    /** Returns the index of the entry that holds it; it grows with every change. */
    [[nodiscard]] auto membership_index() const -> std::uint64_t
    {
        return memberships_.rbegin()->first;
    }
    /** Returns the encoded membership as of a committed entry, for a snapshot; empty in a group
     * with fixed membership. */
    [[nodiscard]] auto membership_at(std::uint64_t index) const -> std::string;
    /** Returns the progress of the other replicas, by name. Maintained only by the leader. */
    [[nodiscard]] auto peers() const -> const std::map<std::string, peer_progress>&
    {
        return peers_;
    }

    /** Returns the entries after \p index. */
    [[nodiscard]] auto entries_after(std::uint64_t index) const -> std::vector<log_entry>
    {
        return log_.entries_after(index);
    }
    /** Returns the term of a committed entry, or 0 when the log no longer knows it. */
    [[nodiscard]] auto term_of(std::uint64_t index) const -> std::uint64_t
    {
        return log_.term_at(index).value_or(0);
    }

    /** Returns the pending output and clears it. */
    [[nodiscard]] auto take_output() -> raft_output;

    [[nodiscard]] auto role() const -> raft_role { return role_; }
    [[nodiscard]] auto term() const -> std::uint64_t { return vote_.term_; }
    /** Returns the name of the leader, or an empty string when it is unknown. */
    [[nodiscard]] auto leader() const -> const std::string& { return leader_; }
    /** Returns false while this replica recovers from a lost disk and neither votes nor counts
     * toward a quorum; see raft_recovery.cpp. */
    [[nodiscard]] auto is_recovered() const -> bool { return vote_.is_recovered_; }
    /** Returns whether a quorum answered the leader within the last lease, as far as this replica
     * knows. A follower learns it from the heartbeats, so that followers partitioned together with
     * their leader also see that the quorum is lost. */
    [[nodiscard]] auto has_quorum_contact(instant now) const -> bool
    {
        const auto contact_at =
            role_ == raft_role::leader ? quorum_contact_time(now) : quorum_contact_at_;
        return now - contact_at < options_.lease_;
    }
    /** Returns how long ago this replica's committed entries were all that the group had committed,
     * or nothing if it does not know that. A follower may lack entries that its leader has
     * committed, and a new leader may lack those of an earlier term, whether or not a quorum is in
     * contact. */
    [[nodiscard]] auto currency_age(instant now) const -> std::optional<duration>;
    [[nodiscard]] auto commit_index() const -> std::uint64_t { return commit_index_; }
    [[nodiscard]] auto last_index() const -> std::uint64_t { return log_.last_index(); }
    /** Returns the last entry that the latest snapshot covers, 0 for none. */
    [[nodiscard]] auto snapshot_index() const -> std::uint64_t
    {
        return snapshot_ ? snapshot_->index_ : 0;
    }
    [[nodiscard]] auto options() const -> const raft_options& { return options_; }

  private:
    struct pending_read {
        std::uint64_t token_ = 0;
        std::uint64_t round_ = 0;
        std::uint64_t index_ = 0;
    };

    /** The progress of the recovery protocol on a replica with an empty disk. */
    struct recovery_state {
        struct answer {
            std::uint64_t term_ = 0;
            bool is_empty_ = false;
            bool is_recovered_ = false;
        };
        std::uint64_t nonce_ = 0; ///< Tells replies to this process from those to an earlier one.
        instant due_{};           ///< When to send the requests again.
        std::map<std::string, answer> answers_;
        std::string leader_;
        std::uint64_t leader_term_ = 0;
        std::uint64_t leader_last_index_ = 0; ///< Must be stored here before recovery completes.
        std::uint64_t matched_term_ = 0; ///< Term of the leader that the log was last matched with.
        std::uint64_t matched_index_ = 0; ///< Highest entry matched with the leader's log.
    };

    raft(raft_options options, durable_state state, instant now);

    [[nodiscard]] auto quorum() const -> std::size_t { return membership().quorum(); }
    /** Returns the latest time by which a quorum had replied to this leader. */
    [[nodiscard]] auto quorum_contact_time(instant now) const -> instant;
    [[nodiscard]] auto is_self_voter() const -> bool
    {
        return membership().is_voter(options_.self_);
    }
    void send(raft_message message);
    void set_vote(vote_state vote);
    /** Returns whether this replica must not count toward a quorum: it recovers, or has not yet
     * stored that it has. */
    [[nodiscard]] auto is_recovering() const -> bool
    {
        return !vote_.is_recovered_ || is_recovery_pending_;
    }

    // raft_election.cpp
    void reset_election_timer(instant now);
    void become_follower(std::uint64_t term, const std::string& leader, instant now);
    void become_pre_candidate(instant now);
    void report(election_event_kind kind, std::uint64_t term, const std::string& peer = {},
                vote_refusal reason = vote_refusal::none);
    [[nodiscard]] auto pre_vote_problem(const raft_message& message, instant now) const
        -> vote_refusal;
    [[nodiscard]] auto vote_problem(const raft_message& message) const -> vote_refusal;
    void follow(const raft_message& message, instant now);
    void become_candidate(instant now);
    void become_leader(instant now);
    void request_votes(raft_message_kind kind, std::uint64_t term);
    [[nodiscard]] auto is_log_up_to_date(const raft_message& message) const -> bool;
    void on_pre_vote_request(const raft_message& message, instant now);
    void on_pre_vote_reply(const raft_message& message, instant now);
    void on_vote_request(const raft_message& message, instant now);
    void on_vote_reply(const raft_message& message, instant now);
    void on_vote_refused(const raft_message& message, instant now);
    /** Returns whether enough voters have not refused this candidate their vote. */
    [[nodiscard]] auto can_win() const -> bool
    {
        return refusals_.size() + quorum() <= membership().voters_.size();
    }
    void check_lease(instant now);
    [[nodiscard]] auto find_successor() const -> std::string;
    void step_down_for_successor(instant now);
    void on_timeout_now(const raft_message& message, instant now);

    // raft_replication.cpp
    void append_entry(entry_kind kind, std::string payload);
    void replicate();
    void send_heartbeats(instant now);
    void send_pending(const std::string& name, peer_progress& peer);
    void send_append(const std::string& name, peer_progress& peer);
    void on_append_request(const raft_message& message, instant now);
    void on_append_reply(const raft_message& message, instant now);
    void append_received_entries(const raft_message& message);
    void advance_commit();
    void commit_up_to(std::uint64_t index);

    // raft_snapshot.cpp
    void send_snapshot(const std::string& name, peer_progress& peer);
    void on_snapshot_request(const raft_message& message, instant now);
    void on_snapshot_reply(const raft_message& message, instant now);
    void install_received_snapshot(log_snapshot snapshot);

    // raft_membership.cpp
    void apply_membership_entry(const log_entry& entry);
    void apply_membership_entries(const std::vector<log_entry>& entries);
    void truncate_memberships_after(std::uint64_t index);
    void set_base_membership(std::uint64_t index, std::string_view encoded);
    void sync_peers();
    void step_down_if_removed(instant now);

    // raft_recovery.cpp
    [[nodiscard]] auto is_empty() const -> bool;
    [[nodiscard]] auto has_caught_up() const -> bool;
    [[nodiscard]] auto fixed_peer_count() const -> std::size_t
    {
        return options_.voters_.size() - 1;
    }
    void tick_recovery(instant now);
    void send_recovery_requests(instant now);
    void on_recovery_request(const raft_message& message);
    void on_recovery_reply(const raft_message& message);
    void complete_recovery(const std::string& voted_for);

    void confirm_pending_reads();
    void fail_pending_reads();

    raft_options options_;
    vote_state vote_;
    replicated_log log_;
    std::map<std::uint64_t, group_membership> memberships_; ///< By the index of their entries.
    std::shared_ptr<const log_snapshot> snapshot_;          ///< Latest snapshot; null for none.
    log_snapshot incoming_snapshot_;                        ///< Snapshot being received.
    instant now_{};                                         ///< Time passed to the latest call.
    raft_role role_ = raft_role::follower;
    std::string leader_;
    std::uint64_t commit_index_ = 0;
    std::uint64_t stored_index_ = 0;   ///< With raft_options::reports_storage_.
    bool is_vote_pending_ = false;     ///< Likewise: the latest vote is not known to be durable.
    bool is_recovery_pending_ = false; ///< Likewise: nor is that this replica has recovered.
    instant leader_contact_at_{};      ///< When the latest append or snapshot arrived.
    std::string last_leader_;          ///< Its sender; empty for none since this process started.
    instant quorum_contact_at_{}; ///< When a quorum last answered the leader that sends appends.
    std::uint64_t leader_commit_index_ = 0; ///< Of the leader that sends appends, as last heard.
    instant election_due_{};
    instant heartbeat_due_{};
    std::set<std::string> pre_votes_; ///< Names of those who would vote for this replica.
    /** Of those who have voted for it in this term. Empty unless this process has stood. */
    std::set<std::string> votes_;
    std::set<std::string> refusals_; ///< Of those who have refused their vote in this term.
    std::map<std::string, peer_progress> peers_;
    std::uint64_t round_ = 0;
    std::vector<pending_read> reads_;
    recovery_state recovery_;
    raft_output output_;
};

} // namespace sycamorewinch
