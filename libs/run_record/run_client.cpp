#include "run_record/run_client.h"

#include <utility>

namespace sycamorewinch {

void run_client::reserve(run_operation operation, run_callback callback, instant now)
{
    if (!connected_ || reservations_.size() >= options_.max_waiting_) {
        callback({operation.attempt_, run_verdict::unreachable, {}});
        return;
    }
    operation.kind_ = run_operation_kind::reserve;
    operation.node_ = options_.node_;
    operation.incarnation_ = options_.incarnation_;
    const auto attempt = operation.attempt_;
    output_.push_back(operation);
    reservations_[attempt] = {std::move(operation), std::move(callback), now + options_.patience_};
}

void run_client::end(run_operation operation, instant now)
{
    operation.node_ = options_.node_;
    operation.incarnation_ = options_.incarnation_;
    if (connected_) {
        output_.push_back(operation);
    }
    if (ends_.size() < options_.max_waiting_) { // else the key stays held: refused, never rerun
        const auto attempt = operation.attempt_;
        ends_[attempt] = {std::move(operation), now + options_.resend_after_};
    }
}

void run_client::abandon(const waiting_reservation& waiting, instant now)
{
    auto release = waiting.operation_;
    release.kind_ = run_operation_kind::release;
    end(std::move(release), now);
    waiting.callback_({waiting.operation_.attempt_, run_verdict::unreachable, {}});
}

// A restarted node says so at once: callers whose requests it held get their final answer.
void run_client::announce(instant now)
{
    run_operation operation{.kind_ = run_operation_kind::announce};
    operation.attempt_ = {hash_of(options_.node_), options_.incarnation_};
    end(std::move(operation), now);
}

void run_client::on_connected(instant now)
{
    connected_ = true;
    for (auto& [attempt, waiting] : ends_) {
        output_.push_back(waiting.operation_);
        waiting.resend_ = now + options_.resend_after_;
    }
    if (!std::exchange(announced_, true)) {
        announce(now);
    }
}

void run_client::on_disconnected(instant now)
{
    connected_ = false;
    output_.clear();
    const auto lost = std::exchange(reservations_, {});
    for (const auto& [attempt, waiting] : lost) {
        abandon(waiting, now);
    }
}

void run_client::on_results(const std::vector<run_result>& results, instant now)
{
    for (const auto& result : results) {
        const auto found = reservations_.find(result.attempt_);
        if (found != reservations_.end()) {
            const auto waiting = std::move(found->second);
            reservations_.erase(found);
            if (result.verdict_ == run_verdict::unreachable) {
                abandon(waiting, now); // it may yet be granted
            }
            else {
                waiting.callback_(result);
            }
        }
        else if (result.verdict_ == run_verdict::acknowledged) {
            ends_.erase(result.attempt_);
        }
    }
}

void run_client::tick(instant now)
{
    for (auto each = reservations_.begin(); each != reservations_.end();) {
        if (each->second.give_up_ <= now) {
            const auto waiting = std::move(each->second);
            each = reservations_.erase(each);
            abandon(waiting, now);
        }
        else {
            ++each;
        }
    }
    for (auto& [attempt, waiting] : ends_) {
        if (connected_ && waiting.resend_ <= now) {
            output_.push_back(waiting.operation_);
            waiting.resend_ = now + options_.resend_after_;
        }
    }
}

auto run_client::take_output() -> std::vector<run_operation>
{
    return std::exchange(output_, {});
}

} // namespace sycamorewinch
