// The part of class raft that elects leaders and lets go of leadership.
#include "consensus/raft.h"

#include <algorithm>

namespace sycamorewinch {

void raft::reset_election_timer(instant now)
{
    // Half a lease of spread is enough: replicas that ask together only ask again soon.
    election_due_ =
        now + uniform_between(options_.random_, options_.lease_, options_.lease_ * 3 / 2);
}

// A leader that a quorum has not answered within a lease may have been replaced without knowing.
void raft::check_lease(instant now)
{
    if (now - quorum_heard_at(now) >= options_.lease_) {
        become_follower(vote_.term_, {}, now);
    }
}

auto raft::quorum_heard_at(instant now) const -> instant
{
    std::vector<instant> heard;
    if (is_self_voter()) {
        heard.push_back(now);
    }
    for (const auto& [name, peer] : peers_) {
        if (peer.is_counted()) {
            heard.push_back(peer.heard_);
        }
    }
    if (heard.size() < quorum()) {
        return now - options_.lease_;
    }
    std::ranges::sort(heard, std::greater<>());
    return heard[quorum() - 1];
}

void raft::become_follower(std::uint64_t term, const std::string& leader, instant now)
{
    if (term > vote_.term_) {
        vote_ = {term, {}, vote_.is_recovered_};
        output_.vote_ = vote_;
    }
    role_ = raft_role::follower;
    leader_ = leader;
    fail_reads();
    reset_election_timer(now);
}

// A replica that could not win must not raise the term: it would only unseat a working leader.
void raft::become_pre_candidate(instant now)
{
    role_ = raft_role::pre_candidate;
    leader_.clear();
    votes_ = {options_.self_};
    // Asking again costs little and disturbs nobody.
    election_due_ =
        now + uniform_between(options_.random_, options_.heartbeat_ / 2, 2 * options_.heartbeat_);
    if (votes_.size() >= quorum()) {
        become_candidate(now);
        return;
    }
    ask_for_votes(raft_message_kind::pre_vote_request, vote_.term_ + 1);
}

void raft::become_candidate(instant now)
{
    role_ = raft_role::candidate;
    leader_.clear();
    vote_ = {vote_.term_ + 1, options_.self_, true};
    output_.vote_ = vote_;
    votes_ = {options_.self_};
    reset_election_timer(now);
    if (votes_.size() >= quorum()) {
        become_leader(now);
        return;
    }
    ask_for_votes(raft_message_kind::vote_request, vote_.term_);
}

void raft::ask_for_votes(raft_message_kind kind, std::uint64_t term)
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
    sync_peers();
    append_entry(entry_kind::no_op, {});
    send_heartbeats(now);
    advance_commit();
}

auto raft::is_log_current(const raft_message& message) const -> bool
{
    return message.log_term_ > log_.last_term() ||
           (message.log_term_ == log_.last_term() && message.log_index_ >= log_.last_index());
}

void raft::on_pre_vote_request(const raft_message& message, instant now)
{
    const bool hears_leader = role_ == raft_role::leader || now - leader_heard_ < options_.lease_;
    raft_message reply;
    reply.kind_ = raft_message_kind::pre_vote_reply;
    reply.to_ = message.from_;
    reply.accepted_ = vote_.is_recovered_ && message.term_ > vote_.term_ && !hears_leader &&
                      is_log_current(message);
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
    votes_.insert(message.from_);
    if (votes_.size() >= quorum()) {
        become_candidate(now);
    }
}

void raft::on_vote_request(const raft_message& message, instant now)
{
    const bool vote_is_free = vote_.voted_for_.empty() || vote_.voted_for_ == message.from_;
    const bool granted = vote_.is_recovered_ && message.term_ == vote_.term_ && vote_is_free &&
                         is_log_current(message);
    if (granted) {
        vote_.voted_for_ = message.from_;
        output_.vote_ = vote_;
        reset_election_timer(now);
    }
    raft_message reply;
    reply.kind_ = raft_message_kind::vote_reply;
    reply.to_ = message.from_;
    reply.accepted_ = granted;
    send(std::move(reply));
}

void raft::on_vote_reply(const raft_message& message, instant now)
{
    if (role_ != raft_role::candidate || message.term_ != vote_.term_ || !message.accepted_ ||
        !membership().is_voter(message.from_)) {
        return;
    }
    votes_.insert(message.from_);
    if (votes_.size() >= quorum()) {
        become_leader(now);
    }
}

} // namespace sycamorewinch
