#include "control/write_queue.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

namespace {

auto changes_vote(const replica_write& write) -> bool
{
    return write.vote_.has_value();
}

} // namespace

auto replica_write::of(const raft_output& output) -> replica_write
{
    return {output.vote_, output.install_, output.truncate_after_, output.append_};
}

auto replica_write::is_empty() const -> bool
{
    return append_.empty() && only_appends();
}

auto replica_write::only_appends() const -> bool
{
    return !vote_ && !snapshot_ && !truncate_after_;
}

auto promises_storage(const raft_message& message) -> bool
{
    switch (message.kind_) {
    case raft_message_kind::vote_request:
    case raft_message_kind::recovery_reply:
        return true;
    case raft_message_kind::vote_reply:
    case raft_message_kind::append_reply:
    case raft_message_kind::snapshot_reply:
        return message.accepted_;
    case raft_message_kind::append_request:
    case raft_message_kind::snapshot_request:
    case raft_message_kind::pre_vote_request:
    case raft_message_kind::pre_vote_reply:
    case raft_message_kind::recovery_request:
    case raft_message_kind::timeout_now:
        return false;
    }
    return true;
}

// Appends that follow one another share a sync.
void write_queue::add(replica_write write)
{
    if (write.only_appends() && !next_.empty()) {
        auto& entries = next_.back().append_;
        entries.insert(entries.end(), std::make_move_iterator(write.append_.begin()),
                       std::make_move_iterator(write.append_.end()));
        return;
    }
    next_.push_back(std::move(write));
}

void write_queue::hold(raft_message message)
{
    auto& waiting = next_.empty() ? waiting_for_it_ : waiting_for_next_;
    waiting.push_back(std::move(message));
}

auto write_queue::begin() -> std::shared_ptr<const write_batch>
{
    if (under_way_ || next_.empty()) {
        return nullptr;
    }
    under_way_ = std::make_shared<const write_batch>(std::exchange(next_, {}));
    waiting_for_it_ = std::exchange(waiting_for_next_, {});
    return under_way_;
}

auto write_queue::finish() -> std::vector<raft_message>
{
    under_way_.reset();
    return std::exchange(waiting_for_it_, {});
}

auto write_queue::has_vote() const -> bool
{
    return std::ranges::any_of(next_, changes_vote) ||
           (under_way_ && std::ranges::any_of(*under_way_, changes_vote));
}

} // namespace sycamorewinch
