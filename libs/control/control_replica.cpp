#include "control/control_replica.h"

#include "base/invariant.h"
#include "control/control_command.h"

namespace sycamorewinch {

auto control_replica::create(raft_options options, durable_state state, control_hooks hooks,
                             instant now) -> result<control_replica>
{
    return raft::create(std::move(options), std::move(state), now).map([&](raft replica) {
        return control_replica(std::move(replica), std::move(hooks));
    });
}

void control_replica::tick(instant now)
{
    if (!disk_failed_) {
        raft_.tick(now);
        run_output();
    }
}

void control_replica::receive(const raft_message& message, instant now)
{
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
    if (disk_failed_) {
        callback(failure(error_kind::unavailable, "this replica's disk has failed"));
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

void control_replica::apply_runs(const run_batch& batch, runs_callback callback, instant now)
{
    if (disk_failed_) {
        callback(failure(error_kind::unavailable, "this replica's disk has failed"));
        return;
    }
    const auto index =
        raft_.propose(encode_command({command_kind::run_batch, encode_run_batch(batch)}), now);
    if (!index) {
        callback(tl::unexpected(index.error()));
        return;
    }
    run_batches_[*index] = {raft_.term(), std::move(callback)};
    run_output();
}

void control_replica::prove_current(proof_callback callback, instant now)
{
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
        disk_failed_ = true;
        fail_waiting();
        hooks_.on_disk_failure_(stored.error());
        return;
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
}

auto control_replica::persist(const raft_output& output) -> result<void>
{
    if (output.vote_) {
        if (auto saved = hooks_.save_vote_(*output.vote_); !saved) {
            return saved;
        }
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
    const auto results = runs_.apply(*batch);
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
    const auto before = state_.current();
    const auto outcome = state_.apply(*command);
    if (state_.current() != before) {
        hooks_.on_table_(state_.current());
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
        callback(state_.current()->version_.number_);
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
