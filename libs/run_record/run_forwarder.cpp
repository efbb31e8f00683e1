#include "run_record/run_forwarder.h"

#include <iterator>
#include <utility>

namespace sycamorewinch {

void run_forwarder::on_operations(run_sender_id sender, std::vector<run_operation> operations,
                                  instant now)
{
    for (auto& operation : operations) {
        if (pending_.size() >= options_.max_pending_) {
            outgoing_results_[sender].push_back({operation.attempt_, run_verdict::unreachable, {}});
            continue;
        }
        auto& pending = pending_[operation.attempt_];
        pending.sender_ = sender;
        ++pending.unanswered_operations_;
        pending.deadline_ = now + options_.response_timeout_;
        outgoing_operations_.push_back(std::move(operation));
    }
}

void run_forwarder::on_results(const std::vector<run_result>& results)
{
    for (const auto& result : results) {
        const auto found = pending_.find(result.attempt_);
        if (found == pending_.end()) {
            continue;
        }
        outgoing_results_[found->second.sender_].push_back(result);
        if (--found->second.unanswered_operations_ == 0) {
            pending_.erase(found);
        }
    }
}

void run_forwarder::on_upstream_disconnected()
{
    outgoing_operations_.clear();
    for (const auto& [attempt, pending] : std::exchange(pending_, {})) {
        outgoing_results_[pending.sender_].push_back({attempt, run_verdict::unreachable, {}});
    }
}

void run_forwarder::on_sender_disconnected(run_sender_id sender)
{
    std::erase_if(pending_, [sender](const auto& entry) { return entry.second.sender_ == sender; });
    outgoing_results_.erase(sender);
}

void run_forwarder::tick(instant now)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        if (it->second.deadline_ <= now) {
            outgoing_results_[it->second.sender_].push_back(
                {it->first, run_verdict::unreachable, {}});
            it = pending_.erase(it);
        }
        else {
            ++it;
        }
    }
}

auto run_forwarder::take_operations() -> std::vector<run_operation>
{
    std::size_t count = 0;
    std::size_t outcome_bytes = 0;
    for (const auto& operation : outgoing_operations_) {
        outcome_bytes += operation.outcome_.size();
        const bool is_full = count == options_.max_batch_operations_ ||
                             outcome_bytes > options_.max_batch_outcome_bytes_;
        if (is_full && count > 0) {
            break;
        }
        ++count;
    }
    const auto end = outgoing_operations_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<run_operation> batch(std::make_move_iterator(outgoing_operations_.begin()),
                                     std::make_move_iterator(end));
    outgoing_operations_.erase(outgoing_operations_.begin(), end);
    return batch;
}

auto run_forwarder::take_results() -> std::map<run_sender_id, std::vector<run_result>>
{
    return std::exchange(outgoing_results_, {});
}

} // namespace sycamorewinch
