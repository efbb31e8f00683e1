// The part of class raft that lets a replica with a fresh disk take part again.
//
// A replica whose disk was lost no longer knows which votes it gave and which entries it stored, so
// it must neither vote nor be counted until neither can matter:
//
//  1. It asks every other replica, under a number drawn for this life, for its term. Whoever won or
//     may still win with a lost vote of this replica is in such a term, or a lower one, because a
//     candidate stores its term before it asks for votes. All must answer, and a quorum of them
//     must be members.
//  2. It follows a leader of that term or a later one, whose answer also names its last entry. That
//     leader holds every entry that this replica ever acknowledged.
//  3. When it holds everything up to that entry, and has it on disk, it is a member again, with its
//     vote in this term given to that leader.
//
// In a new group all are fresh: when every other replica is empty, nothing can have been promised.
#include "consensus/raft.h"

#include <algorithm>

namespace sycamorewinch {

auto raft::is_empty() const -> bool
{
    return vote_.term_ == 0 && log_.last_index() == 0;
}

void raft::tick_recovery(instant now)
{
    const bool has_stored_all = output_.append_.empty() && !output_.install_;
    if (peers_of_group() == 0) {
        become_member({});
    }
    else if (has_caught_up() && has_stored_all) {
        become_member(recovery_.leader_);
    }
    else if (now >= recovery_.due_) {
        ask_for_recovery(now);
    }
}

void raft::ask_for_recovery(instant now)
{
    recovery_.due_ = now + options_.heartbeat_;
    if (recovery_.nonce_ == 0) {
        recovery_.nonce_ = options_.random_() | 1U;
    }
    for (const auto& peer : options_.voters_) {
        if (peer != options_.self_) {
            raft_message request;
            request.kind_ = raft_message_kind::recovery_request;
            request.to_ = peer;
            request.round_ = recovery_.nonce_;
            send(std::move(request));
        }
    }
}

void raft::on_recovery_request(const raft_message& message)
{
    raft_message reply;
    reply.kind_ = raft_message_kind::recovery_reply;
    reply.to_ = message.from_;
    reply.round_ = message.round_;
    reply.accepted_ = is_empty();
    reply.recovering_ = !vote_.is_recovered_;
    reply.log_index_ = role_ == raft_role::leader ? log_.last_index() : 0;
    send(std::move(reply));
}

void raft::on_recovery_reply(const raft_message& message)
{
    if (vote_.is_recovered_ || message.round_ != recovery_.nonce_) {
        return;
    }
    recovery_.answers_[message.from_] = {message.term_, message.accepted_, !message.recovering_};
    const bool all_are_empty = std::ranges::all_of(
        recovery_.answers_, [](const auto& named) { return named.second.is_empty_; });
    if (recovery_.answers_.size() == peers_of_group() && all_are_empty && is_empty()) {
        become_member({});
        return;
    }
    if (message.log_index_ > 0 && message.term_ == vote_.term_) {
        recovery_.leader_ = message.from_;
        recovery_.leader_term_ = message.term_;
        recovery_.leader_last_ = message.log_index_;
    }
}

auto raft::has_caught_up() const -> bool
{
    std::size_t members = 0;
    std::uint64_t floor = 0;
    for (const auto& [name, answer] : recovery_.answers_) {
        members += answer.is_recovered_ ? 1 : 0;
        floor = std::max(floor, answer.term_);
    }
    return recovery_.answers_.size() == peers_of_group() && members >= quorum() &&
           recovery_.leader_term_ == vote_.term_ && vote_.term_ >= floor &&
           recovery_.matched_term_ == vote_.term_ &&
           recovery_.matched_index_ >= recovery_.leader_last_;
}

void raft::become_member(const std::string& voted_for)
{
    vote_.is_recovered_ = true;
    vote_.voted_for_ = voted_for;
    output_.vote_ = vote_;
    recovery_ = {};
}

} // namespace sycamorewinch
