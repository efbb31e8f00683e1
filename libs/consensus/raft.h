/** \file
 * One replica of the control group, as a pure state machine: messages, proposals and the time go
 * in; messages to send, entries to make durable and committed entries come out.
 *
 * The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014). A leader that has not heard from a quorum for one lease steps down by itself,
 * so a replica behind a silent partition stops claiming to be current. A replica asks whether it
 * could win before it raises the term (pre-vote), so one that comes back from a partition does not
 * unseat a leader that the others still hear. Appends are pipelined: a leader goes on sending up to
 * a bound of unanswered bytes. A replica that lags behind the compacted log is sent a snapshot in
 * chunks. The group's members may change one at a time, by entries of the log itself.
 *
 * The owner must make an output's vote and entries durable before it sends the output's messages:
 *
 * \code
 * replica.receive(message, now);
 * auto output = replica.take_output();
 * if (output.install_) switch_to(*output.install_, output.append_); // sync here
 * else store(output.vote_, output.truncate_after_, output.append_); // or here
 * for (auto& message : output.messages_) send(message);
 * for (auto& entry : output.committed_) apply(entry);
 * \endcode
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
#include "consensus/group_membership.h"
#include "consensus/log_entry.h"
#include "consensus/peer_progress.h"
#include "consensus/raft_message.h"
#include "consensus/replicated_log.h"

namespace sycamorewinch {

/** How a replica is set up. */
struct raft_options {
    std::string self_; ///< This replica's name.
    /** Every replica of a group that never changes, this one included. Empty: the members are what
     * the log says, and a replica whose log says nothing waits to be let in. */
    std::vector<std::string> voters_;
    duration heartbeat_ = std::chrono::milliseconds(50);
    duration lease_ = std::chrono::milliseconds(300); ///< Also the shortest election timeout.
    random_hook random_;
    /** Entries kept in memory behind a snapshot, for replicas that are a little behind. */
    std::uint64_t entries_kept_ = 1024;
};

/** What a replica currently is. */
enum class raft_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/** Returns the name of \p role for logs. */
[[nodiscard]] auto name_of(raft_role role) -> std::string_view;

/** A read that a quorum proved current. */
struct confirmed_read {
    std::uint64_t token_ = 0; ///< As given to request_read().
    std::uint64_t index_ = 0; ///< The state must be applied up to here before it is read.
};

/** What the owner of a replica must do next, in this order. */
struct raft_output {
    std::optional<vote_state> vote_; ///< Make durable.
    /** Make durable in place of the whole log, which append_ then holds; then restore the state. */
    std::shared_ptr<const log_snapshot> install_;
    std::optional<std::uint64_t> truncate_after_; ///< Drop stored entries above this index.
    std::vector<log_entry> append_;               ///< Make durable.
    std::vector<raft_message> messages_;          ///< Send.
    std::vector<log_entry> committed_;            ///< Apply, in order.
    std::vector<confirmed_read> reads_;           ///< Answer once applied.
    std::vector<std::uint64_t> failed_reads_;     ///< Answer "not the leader".
};

/** One replica. Not safe from several threads. */
class raft {
  public:
    /** Builds a replica from what its disk holds. */
    [[nodiscard]] static auto create(raft_options options, durable_state state, instant now)
        -> result<raft>;

    /** Lets time pass: elections, heartbeats, lease. Call every few milliseconds. */
    void tick(instant now);

    /** Takes a message from another replica. */
    void receive(const raft_message& message, instant now);

    /** Appends a command as leader and returns its index; otherwise the error says who leads. */
    [[nodiscard]] auto propose(std::string command, instant now) -> result<std::uint64_t>;

    /** Asks for proof by a quorum that this replica leads now; the answer comes in an output. */
    void request_read(std::uint64_t token, instant now);

    /** Lets go of the entries that \p snapshot contains, once it is durable. Some stay in memory,
     * so that a replica a little behind is sent entries and not the snapshot. */
    void compact(std::shared_ptr<const log_snapshot> snapshot);

    /** Appends \p next as leader, in place of the membership in force; otherwise the error says why
     * not. The one before must be committed, and \p next must be allowed to follow it. */
    [[nodiscard]] auto propose_membership(const group_membership& next, instant now)
        -> result<std::uint64_t>;

    /** Returns the membership in force. */
    [[nodiscard]] auto membership() const -> const group_membership&
    {
        return memberships_.rbegin()->second;
    }
    /** Returns the index of the entry that brought it; it rises with every change. */
    [[nodiscard]] auto membership_index() const -> std::uint64_t
    {
        return memberships_.rbegin()->first;
    }
    /** Returns the membership as of a committed entry, encoded, for a snapshot; empty in a group
     * that never changes. */
    [[nodiscard]] auto membership_at(std::uint64_t index) const -> std::string;
    /** Returns what this replica, as leader, knows of the others; empty otherwise. */
    [[nodiscard]] auto peers() const -> const std::map<std::string, peer_progress>&
    {
        return peers_;
    }

    /** Returns the entries behind \p index. */
    [[nodiscard]] auto entries_after(std::uint64_t index) const -> std::vector<log_entry>
    {
        return log_.after(index);
    }
    /** Returns the term of a committed entry that is still held. */
    [[nodiscard]] auto term_of(std::uint64_t index) const -> std::uint64_t
    {
        return log_.term_at(index).value_or(0);
    }

    /** Returns and clears what must be done. */
    [[nodiscard]] auto take_output() -> raft_output;

    [[nodiscard]] auto role() const -> raft_role { return role_; }
    [[nodiscard]] auto term() const -> std::uint64_t { return vote_.term_; }
    /** Returns the leader's name as far as known, else an empty string. */
    [[nodiscard]] auto leader() const -> const std::string& { return leader_; }
    /** Returns whether this replica votes and is counted; see raft_recovery.cpp. */
    [[nodiscard]] auto is_member() const -> bool { return vote_.is_recovered_; }
    /** Returns whether a quorum was in touch with the leader within a lease, as far as this replica
     * can know: a leader that was cut off with some followers says so in its heartbeats. */
    [[nodiscard]] auto has_quorum_contact(instant now) const -> bool
    {
        const auto touched = role_ == raft_role::leader ? quorum_heard_at(now) : touched_at_;
        return now - touched < options_.lease_;
    }
    [[nodiscard]] auto commit_index() const -> std::uint64_t { return commit_; }
    [[nodiscard]] auto last_index() const -> std::uint64_t { return log_.last_index(); }
    [[nodiscard]] auto options() const -> const raft_options& { return options_; }

  private:
    struct pending_read {
        std::uint64_t token_ = 0;
        std::uint64_t round_ = 0;
        std::uint64_t index_ = 0;
    };

    /** What a replica with a fresh disk has learnt so far. */
    struct recovery_state {
        struct answer {
            std::uint64_t term_ = 0;
            bool is_empty_ = false;
            bool is_recovered_ = false;
        };
        std::uint64_t nonce_ = 0; ///< Tells this life's answers from an earlier one's.
        instant due_{};           ///< When to ask again.
        std::map<std::string, answer> answers_;
        std::string leader_;
        std::uint64_t leader_term_ = 0;
        std::uint64_t leader_last_ = 0;   ///< Must be held before this replica counts.
        std::uint64_t matched_term_ = 0;  ///< The leader's log is held in this term ...
        std::uint64_t matched_index_ = 0; ///< ... up to here.
    };

    raft(raft_options options, durable_state state, instant now);

    [[nodiscard]] auto quorum() const -> std::size_t { return membership().quorum(); }
    /** Returns the last moment at which a quorum had answered this leader. */
    [[nodiscard]] auto quorum_heard_at(instant now) const -> instant;
    [[nodiscard]] auto is_self_voter() const -> bool
    {
        return membership().is_voter(options_.self_);
    }
    void send(raft_message message);

    // raft_election.cpp
    void reset_election_timer(instant now);
    void become_follower(std::uint64_t term, const std::string& leader, instant now);
    void become_pre_candidate(instant now);
    void become_candidate(instant now);
    void become_leader(instant now);
    void ask_for_votes(raft_message_kind kind, std::uint64_t term);
    [[nodiscard]] auto is_log_current(const raft_message& message) const -> bool;
    void on_pre_vote_request(const raft_message& message, instant now);
    void on_pre_vote_reply(const raft_message& message, instant now);
    void on_vote_request(const raft_message& message, instant now);
    void on_vote_reply(const raft_message& message, instant now);
    void check_lease(instant now);

    // raft_replication.cpp
    void append_entry(entry_kind kind, std::string payload);
    void replicate();
    void send_heartbeats(instant now);
    void send_pending(const std::string& name, peer_progress& peer);
    void send_append(const std::string& name, peer_progress& peer);
    void on_append_request(const raft_message& message, instant now);
    void on_append_reply(const raft_message& message, instant now);
    void take_entries(const raft_message& message);
    void advance_commit();
    void commit_up_to(std::uint64_t index);

    // raft_snapshot.cpp
    void send_snapshot(const std::string& name, peer_progress& peer);
    void on_snapshot_request(const raft_message& message, instant now);
    void on_snapshot_reply(const raft_message& message, instant now);
    void install(log_snapshot snapshot);

    // raft_membership.cpp
    void adopt(const log_entry& entry);
    void adopt_all(const std::vector<log_entry>& entries);
    void forget_memberships_after(std::uint64_t index);
    void set_base_membership(std::uint64_t index, std::string_view encoded);
    void sync_peers();
    void leave_if_removed(instant now);

    // raft_recovery.cpp
    [[nodiscard]] auto is_empty() const -> bool;
    [[nodiscard]] auto has_caught_up() const -> bool;
    [[nodiscard]] auto peers_of_group() const -> std::size_t { return options_.voters_.size() - 1; }
    void tick_recovery(instant now);
    void ask_for_recovery(instant now);
    void on_recovery_request(const raft_message& message);
    void on_recovery_reply(const raft_message& message);
    void become_member(const std::string& voted_for);

    void confirm_reads();
    void fail_reads();

    raft_options options_;
    vote_state vote_;
    replicated_log log_;
    std::map<std::uint64_t, group_membership> memberships_; ///< By the index of the entry.
    std::shared_ptr<const log_snapshot> snapshot_;          ///< The latest; null for none.
    log_snapshot incoming_;                                 ///< Chunks received so far.
    instant now_{};                                         ///< As last passed in.
    raft_role role_ = raft_role::follower;
    std::string leader_;
    std::uint64_t commit_ = 0;
    instant leader_heard_{};
    instant touched_at_{}; ///< When a quorum had last answered the leader that was heard.
    instant election_due_{};
    instant heartbeat_due_{};
    std::set<std::string> votes_;
    std::map<std::string, peer_progress> peers_;
    std::uint64_t round_ = 0;
    std::vector<pending_read> reads_;
    recovery_state recovery_;
    raft_output output_;
};

} // namespace sycamorewinch
