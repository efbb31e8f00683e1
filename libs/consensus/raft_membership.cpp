// Class raft: membership changes.
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
    // Until it has committed an entry of its own term, a leader may not know of a membership change
    // that an earlier leader committed.
    if (membership_index() > commit_index_ || log_.term_at(commit_index_) != vote_.term_) {
        return failure(error_kind::unavailable,
                       "the previous membership change is not committed yet");
    }
    if (!is_valid_change(membership(), next)) {
        return failure(
            error_kind::invalid_input,
            "a membership change may add or remove one voter at most, and one must remain");
    }
    auto encoded = encode_membership(next);
    if (auto decoded = decode_membership(encoded); !decoded) { // would stop every replica
        return tl::unexpected(decoded.error());
    }
    append_entry(entry_kind::membership, std::move(encoded));
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

void raft::apply_membership_entry(const log_entry& entry)
{
    if (entry.kind_ != entry_kind::membership) {
        return;
    }
    auto membership = decode_membership(entry.payload_);
    invariant(membership.has_value(), "the membership in entry {} cannot be decoded", entry.index_);
    memberships_[entry.index_] = std::move(*membership);
    sync_peers();
}

void raft::apply_membership_entries(const std::vector<log_entry>& entries)
{
    for (const auto& entry : entries) {
        apply_membership_entry(entry);
    }
}

void raft::truncate_memberships_after(std::uint64_t index)
{
    memberships_.erase(memberships_.upper_bound(index), memberships_.end());
    invariant(!memberships_.empty(), "no membership is left up to entry {}", index);
}

void raft::set_base_membership(std::uint64_t index, std::string_view encoded)
{
    memberships_.clear();
    if (encoded.empty()) {
        memberships_[0] = {options_.voters_, {}};
        return;
    }
    auto membership = decode_membership(encoded);
    invariant(membership.has_value(),
              "the membership in the snapshot at entry {} cannot be decoded", index);
    memberships_[index] = std::move(*membership);
}

// A leader tracks the progress of every other member, and of no other replica.
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
            peer->second.next_index_ = log_.last_index() + 1;
            peer->second.last_reply_at_ = now_; // no reply is expected before now
        }
        peer->second.is_voter_ = membership().is_voter(name);
    }
}

// A leader that removes itself steps down only once the change is committed. Its successor need not
// wait for an election timeout.
void raft::step_down_if_removed(instant now)
{
    if (role_ == raft_role::leader && !is_self_voter() && membership_index() <= commit_index_) {
        step_down_for_successor(now);
    }
}

} // namespace sycamorewinch
