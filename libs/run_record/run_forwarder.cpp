#include "run_record/run_forwarder.h"

#include <utility>

namespace sycamorewinch {

void run_forwarder::on_operations(run_sender from, std::vector<run_operation> operations,
                                  instant now)
{
    for (auto& operation : operations) {
        if (waiting_.size() >= options_.max_waiting_) {
            downward_[from].push_back({operation.attempt_, run_verdict::unreachable, {}});
            continue;
        }
        auto& waiting = waiting_[operation.attempt_];
        waiting.from_ = from;
        ++waiting.operations_;
        waiting.give_up_ = now + options_.patience_;
        upward_.push_back(std::move(operation));
    }
}

void run_forwarder::on_results(const std::vector<run_result>& results)
{
    for (const auto& result : results) {
        const auto found = waiting_.find(result.attempt_);
        if (found == waiting_.end()) {
            continue;
        }
        downward_[found->second.from_].push_back(result);
        if (--found->second.operations_ == 0) {
            waiting_.erase(found);
        }
    }
}

void run_forwarder::on_upstream_lost()
{
    upward_.clear();
    for (const auto& [attempt, waiting] : std::exchange(waiting_, {})) {
        downward_[waiting.from_].push_back({attempt, run_verdict::unreachable, {}});
    }
}

void run_forwarder::on_gone(run_sender from)
{
    std::erase_if(waiting_, [from](const auto& each) { return each.second.from_ == from; });
    downward_.erase(from);
}

void run_forwarder::tick(instant now)
{
    for (auto each = waiting_.begin(); each != waiting_.end();) {
        if (each->second.give_up_ <= now) {
            downward_[each->second.from_].push_back({each->first, run_verdict::unreachable, {}});
            each = waiting_.erase(each);
        }
        else {
            ++each;
        }
    }
}

auto run_forwarder::take_upward() -> std::vector<run_operation>
{
    return std::exchange(upward_, {});
}

auto run_forwarder::take_downward() -> std::map<run_sender, std::vector<run_result>>
{
    return std::exchange(downward_, {});
}

} // namespace sycamorewinch
