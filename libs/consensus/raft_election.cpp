// Class raft: leader election and stepping down.
#include "consensus/raft.h"

#include <algorithm>

namespace sycamorewinch {

void raft::reset_election_timer(instant now)
{
    // A jitter of half a lease is enough: replicas that start a pre-vote together soon retry it.
    election_due_ =
        now + uniform_between(options_.random_, options_.lease_, options_.lease_ * 3 / 2);
}

// A leader without replies from a quorum within a lease may have been replaced without knowing it,
// so it steps down.
void raft::check_lease(instant now)
{
    if (now - quorum_contact_time(now) >= options_.lease_) {
        report(election_event_kind::lease_expired, vote_.term_);
        become_follower(vote_.term_, {}, now);
    }
}

auto raft::quorum_contact_time(instant now) const -> instant
{
    std::vector<instant> reply_times;
    if (is_self_voter()) {
        reply_times.push_back(now);
    }
    for (const auto& [name, peer] : peers_) {
        if (peer.counts_toward_quorum()) {
            reply_times.push_back(peer.last_reply_at_);
        }
    }
    if (reply_times.size() < quorum()) {
        return now - options_.lease_;
    }
    std::ranges::sort(reply_times, std::greater<>());
    return reply_times[quorum() - 1];
}

void raft::become_follower(std::uint64_t term, const std::string& leader, instant now)
{
    if (term > vote_.term_) {
        set_vote({term, {}, vote_.is_recovered_});
    }
    role_ = raft_role::follower;
    leader_ = leader;
    votes_.clear();
    fail_pending_reads();
    reset_election_timer(now);
}

void raft::report(election_event_kind kind, std::uint64_t term, const std::string& peer,
                  vote_refusal reason)
{
    output_.elections_.push_back({kind, term, peer, reason});
}

// A message that only the leader of its term sends.
void raft::follow(const raft_message& message, instant now)
{
    if (leader_ != message.from_ || message.term_ > vote_.term_) {
        report(election_event_kind::following, message.term_, message.from_);
    }
    become_follower(message.term_, message.from_, now);
    leader_contact_at_ = now;
    last_leader_ = message.from_;
}

// Pre-vote: a replica that could not win must not raise the term, because that would depose a
// working leader.
void raft::become_pre_candidate(instant now)
{
    if (!leader_.empty()) {
        report(election_event_kind::leader_silent, vote_.term_, leader_);
    }
    role_ = raft_role::pre_candidate;
    leader_.clear();
    pre_votes_ = {options_.self_};
    // Pre-votes are cheap and change no state on the other replicas, so they are retried soon.
    election_due_ =
        now + uniform_between(options_.random_, options_.heartbeat_ / 2, 2 * options_.heartbeat_);
    if (pre_votes_.size() >= quorum()) {
        become_candidate(now);
        return;
    }
    request_votes(raft_message_kind::pre_vote_request, vote_.term_ + 1);
}

void raft::become_candidate(instant now)
{
    role_ = raft_role::candidate;
    leader_.clear();
    set_vote({vote_.term_ + 1, options_.self_, true});
    votes_ = {options_.self_};
    refusals_.clear();
    report(election_event_kind::standing, vote_.term_);
    reset_election_timer(now);
    if (votes_.size() >= quorum()) {
        become_leader(now);
        return;
    }
    request_votes(raft_message_kind::vote_request, vote_.term_);
}

void raft::request_votes(raft_message_kind kind, std::uint64_t term)
{
    for (const auto& peer : membership().voters_) {
        if (peer == options_.self_) {
            continue;
        }
        raft_message request;
        request.kind_ = kind;
        request.to_ = peer;
        request.term_ = term;
        request.log_index_ = log_.last_index();
        request.log_term_ = log_.last_term();
        send(std::move(request));
    }
}

void raft::become_leader(instant now)
{
    role_ = raft_role::leader;
    leader_ = options_.self_;
    peers_.clear();
    now_ = now;
    report(election_event_kind::elected, vote_.term_);
    sync_peers();
    // The silence that led to this election began with the last append of the previous leader.
    const auto previous_leader = peers_.find(last_leader_);
    if (previous_leader != peers_.end() && !votes_.contains(last_leader_)) {
        previous_leader->second.last_reply_at_ = leader_contact_at_;
    }
    append_entry(entry_kind::no_op, {});
    send_heartbeats(now);
    advance_commit();
}

auto raft::is_log_up_to_date(const raft_message& message) const -> bool
{
    return message.log_term_ > log_.last_term() ||
           (message.log_term_ == log_.last_term() && message.log_index_ >= log_.last_index());
}

auto raft::pre_vote_problem(const raft_message& message, instant now) const -> vote_refusal
{
    if (!vote_.is_recovered_) {
        return vote_refusal::recovering;
    }
    if (message.term_ <= vote_.term_) {
        return vote_refusal::old_term;
    }
    if (is_vote_pending_) {
        return vote_refusal::storing_vote;
    }
    if (role_ == raft_role::candidate && can_win()) {
        return vote_refusal::standing;
    }
    if (role_ == raft_role::leader || now - leader_contact_at_ < options_.lease_) {
        return vote_refusal::leader_alive;
    }
    return is_log_up_to_date(message) ? vote_refusal::none : vote_refusal::log_behind;
}

void raft::on_pre_vote_request(const raft_message& message, instant now)
{
    const auto problem = pre_vote_problem(message, now);
    if (problem != vote_refusal::none) {
        report(election_event_kind::pre_vote_refused, message.term_, message.from_, problem);
    }
    raft_message reply;
    reply.kind_ = raft_message_kind::pre_vote_reply;
    reply.to_ = message.from_;
    reply.accepted_ = problem == vote_refusal::none;
    reply.term_ = reply.accepted_ ? message.term_ : vote_.term_;
    send(std::move(reply));
}

void raft::on_pre_vote_reply(const raft_message& message, instant now)
{
    const bool is_answer =
        role_ == raft_role::pre_candidate && message.accepted_ && message.term_ == vote_.term_ + 1;
    if (!is_answer || !membership().is_voter(message.from_)) {
        return;
    }
    pre_votes_.insert(message.from_);
    if (pre_votes_.size() >= quorum()) {
        become_candidate(now);
    }
}

auto raft::vote_problem(const raft_message& message) const -> vote_refusal
{
    if (!vote_.is_recovered_) {
        return vote_refusal::recovering;
    }
    if (message.term_ < vote_.term_) {
        return vote_refusal::old_term;
    }
    if (!vote_.voted_for_.empty() && vote_.voted_for_ != message.from_) {
        return vote_refusal::voted;
    }
    return is_log_up_to_date(message) ? vote_refusal::none : vote_refusal::log_behind;
}

// A newer term has been adopted before this is called.
void raft::on_vote_request(const raft_message& message, instant now)
{
    const auto problem = vote_problem(message);
    const bool granted = problem == vote_refusal::none;
    report(granted ? election_event_kind::vote_granted : election_event_kind::vote_refused,
           message.term_, message.from_, problem);
    if (granted) {
        set_vote({vote_.term_, message.from_, true});
        reset_election_timer(now);
    }
    raft_message reply;
    reply.kind_ = raft_message_kind::vote_reply;
    reply.to_ = message.from_;
    reply.accepted_ = granted;
    send(std::move(reply));
}

// Votes that arrive after the timeout still elect this replica while it asks for pre-votes, which
// leaves its term as it is: voters with slow disks may need longer.
void raft::on_vote_reply(const raft_message& message, instant now)
{
    const bool stands = votes_.contains(options_.self_) && role_ != raft_role::leader;
    if (!stands || message.term_ != vote_.term_ || !membership().is_voter(message.from_)) {
        return;
    }
    if (!message.accepted_) {
        on_vote_refused(message, now);
        return;
    }
    votes_.insert(message.from_);
    if (votes_.size() >= quorum()) {
        become_leader(now);
    }
}

// Candidates that stand at the same time split the votes. One that cannot win any more does not
// wait for its timeout.
void raft::on_vote_refused(const raft_message& message, instant now)
{
    const bool could_win = can_win();
    refusals_.insert(message.from_);
    if (could_win && !can_win()) {
        election_due_ =
            now + uniform_between(options_.random_, options_.heartbeat_ / 4, options_.heartbeat_);
    }
}

/** Returns a voter that stores the whole log, or an empty name. */
auto raft::find_successor() const -> std::string
{
    std::string successor;
    instant replied_at{};
    for (const auto& [name, peer] : peers_) {
        const bool is_up_to_date =
            peer.counts_toward_quorum() && peer.match_index_ == log_.last_index();
        if (is_up_to_date && (successor.empty() || peer.last_reply_at_ > replied_at)) {
            successor = name;
            replied_at = peer.last_reply_at_;
        }
    }
    return successor;
}

auto raft::transfer_leadership(instant now) -> bool
{
    now_ = now;
    if (role_ != raft_role::leader || commit_index_ < log_.last_index() ||
        find_successor().empty()) {
        return false;
    }
    step_down_for_successor(now);
    return true;
}

void raft::step_down_for_successor(instant now)
{
    if (const auto successor = find_successor(); !successor.empty()) {
        raft_message request;
        request.kind_ = raft_message_kind::timeout_now;
        request.to_ = successor;
        send(std::move(request));
        report(election_event_kind::handed_over, vote_.term_, successor);
    }
    become_follower(vote_.term_, {}, now);
}

void raft::on_timeout_now(const raft_message& message, instant now)
{
    const bool may_stand = vote_.is_recovered_ && is_self_voter() && role_ != raft_role::leader;
    if (message.term_ == vote_.term_ && may_stand) {
        become_candidate(now);
    }
}

} // namespace sycamorewinch
