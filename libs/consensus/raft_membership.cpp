// The part of class raft that changes which replicas make up the group.
#include "consensus/raft.h"

#include "base/invariant.h"

namespace sycamorewinch {

auto raft::propose_membership(const group_membership& next, instant now) -> result<std::uint64_t>
{
    now_ = now;
    if (role_ == raft_role::leader) {
        check_lease(now);
    }
    if (role_ != raft_role::leader) {
        return failure(error_kind::unavailable, "this replica does not lead");
    }
    // Before its first own commit a leader may not know of a change that an earlier one made.
    if (membership_index() > commit_ || log_.term_at(commit_) != vote_.term_) {
        return failure(error_kind::unavailable, "the change before is not committed yet");
    }
    if (!may_follow(membership(), next)) {
        return failure(error_kind::invalid_input, "more than one voter would change at once");
    }
    append_entry(entry_kind::membership, encode_membership(next));
    replicate();
    advance_commit();
    return last_index();
}

auto raft::membership_at(std::uint64_t index) const -> std::string
{
    const auto after = memberships_.upper_bound(index);
    if (after == memberships_.begin() || !options_.voters_.empty()) {
        return {};
    }
    return encode_membership(std::prev(after)->second);
}

void raft::adopt(const log_entry& entry)
{
    if (entry.kind_ != entry_kind::membership) {
        return;
    }
    auto membership = decode_membership(entry.payload_);
    invariant(membership.has_value(), "the membership in entry {} cannot be read", entry.index_);
    memberships_[entry.index_] = std::move(*membership);
    sync_peers();
}

void raft::adopt_all(const std::vector<log_entry>& entries)
{
    for (const auto& entry : entries) {
        adopt(entry);
    }
}

void raft::forget_memberships_after(std::uint64_t index)
{
    memberships_.erase(memberships_.upper_bound(index), memberships_.end());
    invariant(!memberships_.empty(), "no membership is left below entry {}", index);
}

void raft::set_base_membership(std::uint64_t index, std::string_view encoded)
{
    memberships_.clear();
    if (encoded.empty()) {
        memberships_[0] = {options_.voters_, {}};
        return;
    }
    auto membership = decode_membership(encoded);
    invariant(membership.has_value(), "the membership in the snapshot at {} cannot be read", index);
    memberships_[index] = std::move(*membership);
}

// A leader follows every member, and nobody else.
void raft::sync_peers()
{
    if (role_ != raft_role::leader) {
        return;
    }
    std::erase_if(peers_, [this](const auto& peer) {
        return !membership().is_voter(peer.first) && !membership().is_learner(peer.first);
    });
    for (const auto& name : membership().all()) {
        if (name == options_.self_) {
            continue;
        }
        const auto [peer, is_new] = peers_.try_emplace(name);
        if (is_new) {
            peer->second.next_ = log_.last_index() + 1;
            peer->second.heard_ = now_; // its silence is counted from now on
        }
        peer->second.is_voter_ = membership().is_voter(name);
    }
}

// A leader that is no voter any more leads until that is committed.
void raft::leave_if_removed(instant now)
{
    if (role_ == raft_role::leader && !is_self_voter() && membership_index() <= commit_) {
        become_follower(vote_.term_, {}, now);
    }
}

} // namespace sycamorewinch
