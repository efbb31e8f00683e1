#include "control/control_replica.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/field_limits.h"
#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t entry_overhead_bytes = 32;

template <typename Command>
auto check_decoded(const result<Command>& command) -> result<void>
{
    return command ? result<void>() : tl::unexpected(command.error());
}

/** Returns an error if a replica could not apply \p command once it is committed. */
auto check_command(const control_command& command, std::size_t payload_bytes) -> result<void>
{
    if (payload_bytes > max_entry_payload_bytes) {
        return failure(error_kind::too_large,
                       fmt::format("the change takes {} bytes of the log, at most {} are allowed",
                                   payload_bytes, max_entry_payload_bytes));
    }
    switch (command.kind_) {
    case command_kind::accept_table:
        return check_decoded(decode_accept_command(command.body_));
    case command_kind::run_batch:
        return check_decoded(decode_run_batch(command.body_));
    case command_kind::rollout:
        return check_decoded(decode_rollout_command(command.body_));
    }
    return failure(error_kind::unsupported, "a command of unknown kind");
}

} // namespace

auto control_replica::create(raft_options options, durable_state state, control_hooks hooks,
                             instant now) -> result<control_replica>
{
    const auto snapshot = state.snapshot_;
    options.reports_storage_ = static_cast<bool>(hooks.run_in_background_);
    auto replica = raft::create(std::move(options), std::move(state), now);
    if (!replica) {
        return tl::unexpected(replica.error());
    }
    control_replica created(std::move(*replica), std::move(hooks));
    created.now_ = now;
    if (auto restored = created.restore(snapshot); !restored) {
        return tl::unexpected(restored.error());
    }
    return created;
}

void control_replica::tick(instant now)
{
    now_ = now;
    if (disk_failed_) {
        try_reload(now);
        return;
    }
    raft_.tick(now);
    process_output();
}

void control_replica::receive(const raft_message& message, instant now)
{
    now_ = now;
    if (!disk_failed_) {
        raft_.receive(message, now);
        schedule_flush();
    }
}

void control_replica::flush()
{
    if (!disk_failed_) {
        process_output();
    }
}

void control_replica::schedule_flush()
{
    if (!hooks_.request_flush_) {
        process_output();
        return;
    }
    if (!std::exchange(flush_scheduled_, true)) {
        hooks_.request_flush_();
    }
}

// A committed command that cannot be decoded would stop every replica, again at each restart, so
// the bytes are decoded before they enter the log.
auto control_replica::propose(const control_command& command, instant now) -> result<std::uint64_t>
{
    now_ = now;
    if (const auto allowed = check_can_propose(); !allowed) {
        return tl::unexpected(allowed.error());
    }
    auto payload = encode_command(command);
    if (const auto checked = check_command(command, payload.size()); !checked) {
        return tl::unexpected(checked.error());
    }
    return raft_.propose(std::move(payload), now);
}

void control_replica::accept(const accept_command& command, accept_callback callback, instant now)
{
    const auto index = propose({command_kind::accept_table, encode_command(command)}, now);
    if (!index) {
        callback(tl::unexpected(index.error()));
        return;
    }
    pending_accepts_[*index] = {raft_.term(), std::move(callback)};
    schedule_flush();
}

auto control_replica::propose_membership(const group_membership& next, instant now)
    -> result<std::uint64_t>
{
    now_ = now;
    if (disk_failed_) {
        return failure(error_kind::unavailable, "this replica's disk has failed");
    }
    auto index = raft_.propose_membership(next, now);
    schedule_flush();
    return index;
}

auto control_replica::transfer_leadership(instant now) -> bool
{
    now_ = now;
    if (disk_failed_ || !raft_.transfer_leadership(now)) {
        return false;
    }
    schedule_flush();
    return true;
}

void control_replica::apply_runs(const run_batch& batch, runs_callback callback, instant now)
{
    const auto index = propose({command_kind::run_batch, encode_run_batch(batch)}, now);
    if (!index) {
        callback(tl::unexpected(index.error()));
        return;
    }
    pending_run_batches_[*index] = {raft_.term(), std::move(callback)};
    schedule_flush();
}

void control_replica::apply_rollout(const rollout_command& command, rollout_callback callback,
                                    instant now)
{
    const auto index = propose({command_kind::rollout, encode_command(command)}, now);
    if (!index) {
        callback(tl::unexpected(index.error()));
        return;
    }
    pending_rollouts_[*index] = {raft_.term(), std::move(callback)};
    schedule_flush();
}

void control_replica::prove_current(proof_callback callback, instant now)
{
    now_ = now;
    if (disk_failed_) {
        callback(failure(error_kind::unavailable, "this replica's disk has failed"));
        return;
    }
    const auto token = next_read_token_++;
    pending_proofs_[token] = std::move(callback);
    raft_.request_read(token, now);
    schedule_flush();
}

void control_replica::process_output()
{
    flush_scheduled_ = false;
    const auto output = raft_.take_output();
    if (hooks_.on_election_) {
        std::ranges::for_each(output.elections_, hooks_.on_election_);
    }
    if (const auto stored = store_or_queue(replica_write::of(output)); !stored) {
        on_disk_failure(stored.error());
        return;
    }
    if (output.install_) {
        const auto restored = restore(*output.install_);
        invariant(restored.has_value(), "the leader's snapshot at entry {} cannot be decoded",
                  output.install_->index_);
        ++snapshots_installed_;
    }
    for (const auto& message : output.messages_) {
        send_or_hold(message);
    }
    const auto before = state_.tables_.current();
    for (const auto& entry : output.committed_) {
        apply(entry);
    }
    if (state_.tables_.current() != before) {
        hooks_.on_table_(state_.tables_.current());
    }
    report_rollouts();
    answer_reads(output);
    if (raft_.role() != raft_role::leader) {
        fail_pending_requests();
    }
    if (bytes_since_snapshot_ > std::max(hooks_.snapshot_threshold_bytes_, snapshot_bytes_)) {
        take_snapshot();
    }
    begin_writes();
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

void control_replica::report_rollouts()
{
    const auto sequence = state_.rollouts_.sequence();
    if (std::exchange(reported_rollout_sequence_, sequence) != sequence && hooks_.on_rollouts_) {
        hooks_.on_rollouts_(state_.rollouts_);
    }
}

void control_replica::apply(const log_entry& entry)
{
    if (entry.index_ <= applied_index_) {
        return; // already applied; entries are committed again after a reload
    }
    invariant(entry.index_ == applied_index_ + 1, "entry {} would be applied after entry {}",
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
    invariant(envelope.has_value(), "committed entry {} cannot be decoded", entry.index_);
    if (envelope->kind_ == command_kind::run_batch) {
        apply_run_batch(entry, envelope->body_);
    }
    else if (envelope->kind_ == command_kind::rollout) {
        apply_rollout_command(entry, envelope->body_);
    }
    else {
        apply_accept(entry, envelope->body_);
    }
}

void control_replica::apply_run_batch(const log_entry& entry, const std::string& body)
{
    const auto batch = decode_run_batch(body);
    invariant(batch.has_value(), "the run batch in committed entry {} cannot be decoded",
              entry.index_);
    const auto results = state_.runs_.apply(*batch);
    const auto pending = pending_run_batches_.find(entry.index_);
    if (pending != pending_run_batches_.end() && pending->second.term_ == entry.term_) {
        const auto callback = std::move(pending->second.callback_);
        pending_run_batches_.erase(pending);
        callback(results);
    }
}

void control_replica::apply_rollout_command(const log_entry& entry, const std::string& body)
{
    const auto command = decode_rollout_command(body);
    invariant(command.has_value(), "the roll-out command in committed entry {} cannot be decoded",
              entry.index_);
    const auto outcome = state_.rollouts_.apply(*command);
    const auto pending = pending_rollouts_.find(entry.index_);
    if (pending != pending_rollouts_.end() && pending->second.term_ == entry.term_) {
        const auto callback = std::move(pending->second.callback_);
        pending_rollouts_.erase(pending);
        callback(outcome);
    }
}

void control_replica::apply_accept(const log_entry& entry, const std::string& body)
{
    const auto command = decode_accept_command(body);
    invariant(command.has_value(), "the accept command in committed entry {} cannot be decoded",
              entry.index_);
    const auto outcome = state_.tables_.apply(*command);
    const auto pending = pending_accepts_.find(entry.index_);
    if (pending != pending_accepts_.end() && pending->second.term_ == entry.term_) {
        const auto callback = std::move(pending->second.callback_);
        pending_accepts_.erase(pending);
        callback(outcome);
    }
}

void control_replica::answer_reads(const raft_output& output)
{
    for (const auto& read : output.reads_) {
        const auto found = pending_proofs_.find(read.token_);
        invariant(found != pending_proofs_.end(), "read {} was answered twice", read.token_);
        const auto callback = std::move(found->second);
        pending_proofs_.erase(found);
        callback(state_.tables_.current()->version_.number_);
    }
    for (const auto token : output.failed_reads_) {
        const auto found = pending_proofs_.find(token);
        if (found != pending_proofs_.end()) {
            const auto callback = std::move(found->second);
            pending_proofs_.erase(found);
            callback(failure(error_kind::unavailable, "this replica does not lead"));
        }
    }
}

// A former leader cannot know whether its proposals will be committed. The client finds out by
// sending the edit again under the same id.
void control_replica::fail_pending_requests()
{
    const auto accepts = std::move(pending_accepts_);
    pending_accepts_.clear();
    for (const auto& [index, pending] : accepts) {
        pending.callback_(failure(error_kind::unavailable,
                                  "leadership was lost before the outcome was known; send the "
                                  "edit again with the same id"));
    }
    const auto batches = std::move(pending_run_batches_);
    pending_run_batches_.clear();
    for (const auto& [index, pending] : batches) {
        pending.callback_(
            failure(error_kind::unavailable, "leadership was lost before the results were known"));
    }
    const auto rollouts = std::move(pending_rollouts_);
    pending_rollouts_.clear();
    for (const auto& [index, pending] : rollouts) {
        pending.callback_(failure(error_kind::unavailable,
                                  "leadership was lost before the outcome was known; send the "
                                  "order again"));
    }
    if (disk_failed_) {
        const auto proofs = std::move(pending_proofs_);
        pending_proofs_.clear();
        for (const auto& [token, callback] : proofs) {
            callback(failure(error_kind::unavailable, "this replica's disk has failed"));
        }
    }
}

} // namespace sycamorewinch
