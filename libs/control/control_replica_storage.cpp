// Class control_replica: what it stores, and what waits until that is durable.
#include "control/control_replica.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace sycamorewinch {

// A follower tells its leader at once, also while it stores, that it is there and how far its log
// is durable. A leader sends entries before it has stored them itself, but nothing in a term for
// which its vote is not durable: it may be the only voter.
void control_replica::send_or_hold(const raft_message& message)
{
    const bool is_from_leader = message.kind_ == raft_message_kind::append_request ||
                                message.kind_ == raft_message_kind::snapshot_request;
    const bool waits = promises_storage(message) || (is_from_leader && writes_.has_vote());
    if (!waits || writes_.is_empty()) {
        hooks_.send_(message);
        return;
    }
    if (message.kind_ == raft_message_kind::append_reply) {
        auto reply = message;
        reply.log_index_ = std::min(reply.log_index_, raft_.stored_index());
        hooks_.send_(reply);
        if (reply.log_index_ == message.log_index_) {
            return;
        }
    }
    writes_.hold(message);
}

void control_replica::begin_writes()
{
    const auto batch = writes_.begin();
    if (!batch) {
        return;
    }
    hooks_.run_in_background_(
        [this, batch]() -> result<void> {
            for (const auto& write : *batch) {
                if (auto stored = store(write); !stored) {
                    return stored;
                }
            }
            return {};
        },
        [this, batch](const result<void>& outcome, instant now) {
            on_written(*batch, outcome, now);
        });
}

void control_replica::on_written(const write_batch& batch, const result<void>& outcome, instant now)
{
    now_ = now;
    if (!outcome) {
        on_disk_failure(outcome.error());
        return;
    }
    for (const auto& message : writes_.finish()) {
        hooks_.send_(message);
    }
    bool has_vote = false;
    for (const auto& write : batch) {
        has_vote = has_vote || write.vote_;
        if (write.snapshot_) {
            raft_.on_stored(write.snapshot_->index_, write.snapshot_->term_, now);
        }
        if (!write.append_.empty()) {
            raft_.on_stored(write.append_.back().index_, write.append_.back().term_, now);
        }
        if (write.snapshot_ && write.snapshot_ == own_snapshot_) {
            compact(std::exchange(own_snapshot_, nullptr));
        }
    }
    if (has_vote && !writes_.has_vote()) {
        raft_.on_vote_stored(now);
    }
    process_output();
}

void control_replica::on_disk_failure(const error& problem)
{
    constexpr auto reload_after = std::chrono::seconds(1);
    disk_failed_ = true;
    writes_.clear();
    own_snapshot_.reset();
    reload_due_ = now_ + reload_after;
    fail_pending_requests();
    hooks_.on_disk_failure_(problem);
}

// After a failed write it is unknown whether the data is on the disk, so Raft restarts from what
// the disk holds. The applied state is kept: it comes from committed entries and can still be
// served.
void control_replica::try_reload(instant now)
{
    if (!hooks_.reload_ || now < reload_due_) {
        return;
    }
    auto state = hooks_.reload_();
    if (!state) {
        on_disk_failure(state.error());
        return;
    }
    const auto snapshot = state->snapshot_;
    auto replica = raft::create(raft_.options(), std::move(*state), now);
    const auto restored = replica ? restore(snapshot) : tl::unexpected(replica.error());
    if (!restored) {
        on_disk_failure(restored.error());
        return;
    }
    raft_ = std::move(*replica);
    disk_failed_ = false;
}

auto control_replica::restore(const log_snapshot& snapshot) -> result<void>
{
    if (snapshot.index_ <= applied_index_) {
        return {};
    }
    auto state = decode_state(snapshot.data_, hooks_.limits_);
    if (!state) {
        return tl::unexpected(state.error());
    }
    const auto before = state_.tables_.current()->version_.number_;
    const auto after = state->tables_.current()->version_.number_;
    invariant(after >= before, "a snapshot would lower the table version from {} to {}", before,
              after);
    state_ = std::move(*state);
    applied_index_ = snapshot.index_;
    snapshot_bytes_ = snapshot.data_.size();
    bytes_since_snapshot_ = 0;
    if (after > before) {
        hooks_.on_table_(state_.tables_.current());
    }
    report_rollouts();
    return {};
}

void control_replica::take_snapshot()
{
    if (applied_index_ > raft_.commit_index()) {
        return; // after a reload, wait until the commit index has caught up with the applied state
    }
    if (own_snapshot_) {
        return; // the one before is still being stored
    }
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index_ = applied_index_;
    snapshot->term_ = raft_.term_of(applied_index_);
    snapshot->data_ = encode_state(state_);
    snapshot->membership_ = raft_.membership_at(applied_index_);
    replica_write write{{}, snapshot, {}, raft_.entries_after(applied_index_)};
    snapshot_bytes_ = snapshot->data_.size();
    bytes_since_snapshot_ = 0;
    if (const auto stored = store_or_queue(std::move(write)); !stored) {
        on_disk_failure(stored.error());
        return;
    }
    if (hooks_.run_in_background_) {
        own_snapshot_ = std::move(snapshot);
        return;
    }
    compact(std::move(snapshot));
}

void control_replica::compact(std::shared_ptr<const log_snapshot> snapshot)
{
    ++snapshots_taken_;
    // The leader may have sent a later one while this was being stored.
    if (snapshot->index_ > raft_.snapshot_index()) {
        raft_.compact(std::move(snapshot));
    }
}

auto control_replica::store_or_queue(replica_write write) -> result<void>
{
    if (!hooks_.run_in_background_) {
        return store(write);
    }
    if (!write.is_empty()) {
        writes_.add(std::move(write));
    }
    return {};
}

auto control_replica::store(const replica_write& write) const -> result<void>
{
    if (write.vote_) {
        if (auto saved = hooks_.save_vote_(*write.vote_); !saved) {
            return saved;
        }
    }
    if (write.snapshot_) {
        return hooks_.save_snapshot_(*write.snapshot_, write.append_);
    }
    if (write.truncate_after_) {
        if (auto truncated = hooks_.truncate_after_(*write.truncate_after_); !truncated) {
            return truncated;
        }
    }
    return write.append_.empty() ? result<void>() : hooks_.append_(write.append_);
}

} // namespace sycamorewinch
