// Class raft: recovery of a replica whose disk was lost, in a group with fixed membership.
//
// A replica whose disk was lost no longer knows which votes it granted and which entries it
// acknowledged, so it must neither vote nor count toward a quorum until the lost votes
// and acknowledgements can no longer break safety:
//
//  1. It asks every other replica for its term, with a random nonce for this process. The term
//     of a candidate that won or may still win with a lost vote of this replica is at most the
//     highest of these terms, because a candidate stores its term before it requests votes. All
//     other replicas must answer, and as many as a quorum of them must not be recovering
//     themselves.
//  2. It follows a leader of the highest of these terms or a later one, whose answer also gives
//     its own last index. That leader holds every entry that this replica ever acknowledged.
//  3. Once this replica stores the log durably up to that index, it has recovered. Its vote in the
//     current term is set to that leader.
//
// In a new group all replicas are empty: when every other replica is empty as well, nothing can
// have been voted for or acknowledged, and recovery completes without a leader.
#include "consensus/raft.h"

#include <algorithm>

namespace sycamorewinch {

auto raft::is_empty() const -> bool
{
    return vote_.term_ == 0 && log_.last_index() == 0;
}

void raft::tick_recovery(instant now)
{
    const bool has_no_pending_writes =
        output_.append_.empty() && !output_.install_ && stored_index() >= log_.last_index();
    if (fixed_peer_count() == 0) {
        complete_recovery({});
    }
    else if (has_caught_up() && has_no_pending_writes) {
        complete_recovery(recovery_.leader_);
    }
    else if (now >= recovery_.due_) {
        send_recovery_requests(now);
    }
}

void raft::send_recovery_requests(instant now)
{
    recovery_.due_ = now + options_.heartbeat_;
    if (recovery_.nonce_ == 0) {
        recovery_.nonce_ = options_.random_() | 1U; // 0 means that none is chosen yet
    }
    for (const auto& peer : options_.voters_) {
        if (peer != options_.self_) {
            raft_message request;
            request.kind_ = raft_message_kind::recovery_request;
            request.to_ = peer;
            // round_ carries the nonce in recovery messages.
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
    // In this reply, accepted_ says whether this replica is empty, and log_index_ is 0 unless it
    // leads.
    reply.accepted_ = is_empty();
    reply.recovering_ = is_recovering();
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
        recovery_.answers_, [](const auto& entry) { return entry.second.is_empty_; });
    if (recovery_.answers_.size() == fixed_peer_count() && all_are_empty && is_empty()) {
        complete_recovery({});
        return;
    }
    // Only a leader sends a log index above 0.
    if (message.log_index_ > 0 && message.term_ == vote_.term_) {
        recovery_.leader_ = message.from_;
        recovery_.leader_term_ = message.term_;
        recovery_.leader_last_index_ = message.log_index_;
    }
}

auto raft::has_caught_up() const -> bool
{
    std::size_t recovered_count = 0;
    std::uint64_t highest_term = 0;
    for (const auto& [name, answer] : recovery_.answers_) {
        recovered_count += answer.is_recovered_ ? 1 : 0;
        highest_term = std::max(highest_term, answer.term_);
    }
    return recovery_.answers_.size() == fixed_peer_count() && recovered_count >= quorum() &&
           recovery_.leader_term_ == vote_.term_ && vote_.term_ >= highest_term &&
           recovery_.matched_term_ == vote_.term_ &&
           recovery_.matched_index_ >= recovery_.leader_last_index_;
}

void raft::complete_recovery(const std::string& voted_for)
{
    set_vote({vote_.term_, voted_for, true});
    recovery_ = {};
}

} // namespace sycamorewinch
