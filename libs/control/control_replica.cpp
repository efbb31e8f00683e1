#include "control/control_replica.h"

#include <algorithm>

#include "base/invariant.h"
#include "control/control_command.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t entry_overhead_bytes = 32;

} // namespace

auto control_replica::create(raft_options options, durable_state state, control_hooks hooks,
                             instant now) -> result<control_replica>
{
    const auto snapshot = state.snapshot_;
    auto replica = raft::create(std::move(options), std::move(state), now);
    if (!replica) {
        return tl::unexpected(replica.error());
    }
    control_replica made(std::move(*replica), std::move(hooks));
    made.now_ = now;
    if (auto restored = made.restore(snapshot); !restored) {
        return tl::unexpected(restored.error());
    }
    return made;
}

void control_replica::tick(instant now)
{
    now_ = now;
    if (disk_failed_) {
        try_reload(now);
        return;
    }
    raft_.tick(now);
    run_output();
}

void control_replica::receive(const raft_message& message, instant now)
{
    now_ = now;
    if (!disk_failed_) {
        raft_.receive(message, now);
        flush_soon();
    }
}

void control_replica::flush()
{
    if (!disk_failed_) {
        run_output();
    }
}

void control_replica::flush_soon()
{
    if (!hooks_.request_flush_) {
        run_output();
        return;
    }
    if (!std::exchange(flush_is_due_, true)) {
        hooks_.request_flush_();
    }
}

void control_replica::accept(const accept_command& command, accept_callback callback, instant now)
{
    now_ = now;
    if (const auto possible = check_can_propose(); !possible) {
        callback(tl::unexpected(possible.error()));
        return;
    }
    const auto index =
        raft_.propose(encode_command({command_kind::accept_table, encode_command(command)}), now);
    if (!index) {
        callback(tl::unexpected(index.error()));
        return;
    }
    accepts_[*index] = {raft_.term(), std::move(callback)};
    flush_soon();
}

auto control_replica::propose_membership(const group_membership& next, instant now)
    -> result<std::uint64_t>
{
    now_ = now;
    if (disk_failed_) {
        return failure(error_kind::unavailable, "this replica's disk has failed");
    }
    auto index = raft_.propose_membership(next, now);
    flush_soon();
    return index;
}

void control_replica::apply_runs(const run_batch& batch, runs_callback callback, instant now)
{
    now_ = now;
    if (const auto possible = check_can_propose(); !possible) {
        callback(tl::unexpected(possible.error()));
        return;
    }
    const auto index =
        raft_.propose(encode_command({command_kind::run_batch, encode_run_batch(batch)}), now);
    if (!index) {
        callback(tl::unexpected(index.error()));
        return;
    }
    run_batches_[*index] = {raft_.term(), std::move(callback)};
    flush_soon();
}

void control_replica::prove_current(proof_callback callback, instant now)
{
    now_ = now;
    if (disk_failed_) {
        callback(failure(error_kind::unavailable, "this replica's disk has failed"));
        return;
    }
    const auto token = next_token_++;
    proofs_[token] = std::move(callback);
    raft_.request_read(token, now);
    flush_soon();
}

void control_replica::run_output()
{
    flush_is_due_ = false;
    const auto output = raft_.take_output();
    if (const auto stored = persist(output); !stored) {
        on_disk_failure(stored.error());
        return;
    }
    if (output.install_) {
        const auto restored = restore(*output.install_);
        invariant(restored.has_value(), "the leader's snapshot at {} cannot be read",
                  output.install_->index_);
        ++snapshots_installed_;
    }
    for (const auto& message : output.messages_) {
        hooks_.send_(message);
    }
    for (const auto& entry : output.committed_) {
        apply(entry);
    }
    answer_reads(output);
    if (raft_.role() != raft_role::leader) {
        fail_waiting();
    }
    if (bytes_since_snapshot_ > std::max(hooks_.snapshot_after_bytes_, snapshot_bytes_)) {
        make_snapshot();
    }
}

auto control_replica::check_can_propose() const -> result<void>
{
    if (disk_failed_) {
        return failure(error_kind::unavailable, "this replica's disk has failed");
    }
    if (hooks_.has_disk_space_ && !hooks_.has_disk_space_()) {
        return failure(error_kind::unavailable,
                       "the leader's data folder is almost full; free space on that VM");
    }
    return {};
}

void control_replica::on_disk_failure(const error& problem)
{
    constexpr auto reload_after = std::chrono::seconds(1);
    disk_failed_ = true;
    reload_due_ = now_ + reload_after;
    fail_waiting();
    hooks_.on_disk_failure_(problem);
}

// What was written but not surely synced may be there or not, so the replica starts again from what
// the disk says. The applied state stays: it came from committed entries, and serving goes on.
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
    invariant(after >= before, "a snapshot goes from version {} back to {}", before, after);
    state_ = std::move(*state);
    applied_index_ = snapshot.index_;
    snapshot_bytes_ = snapshot.data_.size();
    bytes_since_snapshot_ = 0;
    if (after > before) {
        hooks_.on_table_(state_.tables_.current());
    }
    return {};
}

void control_replica::make_snapshot()
{
    if (applied_index_ > raft_.commit_index()) {
        return; // after a reload, until the group has committed as far again
    }
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index_ = applied_index_;
    snapshot->term_ = raft_.term_of(applied_index_);
    snapshot->data_ = encode_state(state_);
    snapshot->membership_ = raft_.membership_at(applied_index_);
    const auto stored = hooks_.save_snapshot_(*snapshot, raft_.entries_after(applied_index_));
    if (!stored) {
        on_disk_failure(stored.error());
        return;
    }
    snapshot_bytes_ = snapshot->data_.size();
    bytes_since_snapshot_ = 0;
    ++snapshots_made_;
    raft_.compact(std::move(snapshot));
}

auto control_replica::persist(const raft_output& output) -> result<void>
{
    if (output.vote_) {
        if (auto saved = hooks_.save_vote_(*output.vote_); !saved) {
            return saved;
        }
    }
    if (output.install_) {
        return hooks_.save_snapshot_(*output.install_, output.append_);
    }
    if (output.truncate_after_) {
        if (auto cut = hooks_.truncate_after_(*output.truncate_after_); !cut) {
            return cut;
        }
    }
    return output.append_.empty() ? result<void>() : hooks_.append_(output.append_);
}

void control_replica::apply(const log_entry& entry)
{
    if (entry.index_ <= applied_index_) {
        return; // committed again after a reload
    }
    invariant(entry.index_ == applied_index_ + 1, "entry {} is applied after entry {}",
              entry.index_, applied_index_);
    applied_index_ = entry.index_;
    bytes_since_snapshot_ += entry.payload_.size() + entry_overhead_bytes;
    if (hooks_.on_committed_) {
        hooks_.on_committed_(entry);
    }
    if (entry.kind_ != entry_kind::command) {
        return;
    }
    const auto envelope = decode_control_command(entry.payload_);
    invariant(envelope.has_value(), "committed entry {} cannot be read", entry.index_);
    if (envelope->kind_ == command_kind::run_batch) {
        apply_run_batch(entry, envelope->body_);
    }
    else {
        apply_accept(entry, envelope->body_);
    }
}

void control_replica::apply_run_batch(const log_entry& entry, const std::string& body)
{
    const auto batch = decode_run_batch(body);
    invariant(batch.has_value(), "committed entry {} cannot be read", entry.index_);
    const auto results = state_.runs_.apply(*batch);
    const auto waiting = run_batches_.find(entry.index_);
    if (waiting != run_batches_.end() && waiting->second.term_ == entry.term_) {
        const auto callback = std::move(waiting->second.callback_);
        run_batches_.erase(waiting);
        callback(results);
    }
}

void control_replica::apply_accept(const log_entry& entry, const std::string& body)
{
    const auto command = decode_accept_command(body);
    invariant(command.has_value(), "committed entry {} cannot be read", entry.index_);
    const auto before = state_.tables_.current();
    const auto outcome = state_.tables_.apply(*command);
    if (state_.tables_.current() != before) {
        hooks_.on_table_(state_.tables_.current());
    }
    const auto waiting = accepts_.find(entry.index_);
    if (waiting != accepts_.end() && waiting->second.term_ == entry.term_) {
        const auto callback = std::move(waiting->second.callback_);
        accepts_.erase(waiting);
        callback(outcome);
    }
}

void control_replica::answer_reads(const raft_output& output)
{
    for (const auto& read : output.reads_) {
        const auto found = proofs_.find(read.token_);
        invariant(found != proofs_.end(), "read {} was answered twice", read.token_);
        const auto callback = std::move(found->second);
        proofs_.erase(found);
        callback(state_.tables_.current()->version_.number_);
    }
    for (const auto token : output.failed_reads_) {
        const auto found = proofs_.find(token);
        if (found != proofs_.end()) {
            const auto callback = std::move(found->second);
            proofs_.erase(found);
            callback(failure(error_kind::unavailable, "this replica does not lead"));
        }
    }
}

// A former leader cannot know what becomes of its proposals: sending the edit again will tell.
void control_replica::fail_waiting()
{
    const auto accepts = std::move(accepts_);
    accepts_.clear();
    for (const auto& [index, waiting] : accepts) {
        waiting.callback_(failure(error_kind::unavailable,
                                  "leadership was lost before the outcome was known; send the "
                                  "edit again with the same id"));
    }
    const auto batches = std::move(run_batches_);
    run_batches_.clear();
    for (const auto& [index, waiting] : batches) {
        waiting.callback_(failure(error_kind::unavailable, "leadership was lost"));
    }
    if (disk_failed_) {
        const auto proofs = std::move(proofs_);
        proofs_.clear();
        for (const auto& [token, callback] : proofs) {
            callback(failure(error_kind::unavailable, "this replica's disk has failed"));
        }
    }
}

} // namespace sycamorewinch
