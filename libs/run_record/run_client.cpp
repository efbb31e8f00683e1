#include "run_record/run_client.h"

#include <utility>

namespace sycamorewinch {

void run_client::reserve(run_operation operation, reservation_callback callback, instant now)
{
    if (!connected_ || reservations_.size() >= options_.max_pending_) {
        callback({operation.attempt_, run_verdict::unreachable, {}});
        return;
    }
    operation.kind_ = run_operation_kind::reserve;
    operation.node_ = options_.node_;
    operation.incarnation_ = options_.incarnation_;
    const auto attempt = operation.attempt_;
    output_.push_back(operation);
    reservations_[attempt] = {std::move(operation), std::move(callback),
                              now + options_.reservation_timeout_};
}

void run_client::end(run_operation operation, instant now)
{
    operation.node_ = options_.node_;
    operation.incarnation_ = options_.incarnation_;
    if (connected_) {
        output_.push_back(operation);
    }
    // A report beyond the limit is not resent: its key may stay reserved, so retries are refused
    // and the request is never run again.
    if (reports_.size() < options_.max_pending_) {
        const auto attempt = operation.attempt_;
        reports_[attempt] = {std::move(operation), now + options_.resend_interval_};
    }
}

void run_client::abandon_reservation(const pending_reservation& pending, instant now)
{
    auto release = pending.operation_;
    release.kind_ = run_operation_kind::release;
    end(std::move(release), now);
    pending.callback_({pending.operation_.attempt_, run_verdict::unreachable, {}});
}

// A restarted node announces its new incarnation immediately, so that callers who retry a request
// that it was running receive the final verdict "lost".
void run_client::announce(instant now)
{
    run_operation operation{.kind_ = run_operation_kind::announce};
    operation.attempt_ = {hash_of(options_.node_), options_.incarnation_};
    end(std::move(operation), now);
}

void run_client::on_connected(instant now)
{
    connected_ = true;
    for (auto& [attempt, pending] : reports_) {
        output_.push_back(pending.operation_);
        pending.resend_at_ = now + options_.resend_interval_;
    }
    if (!std::exchange(announced_, true)) {
        announce(now);
    }
}

void run_client::on_disconnected(instant now)
{
    connected_ = false;
    output_.clear();
    const auto abandoned = std::exchange(reservations_, {});
    for (const auto& [attempt, pending] : abandoned) {
        abandon_reservation(pending, now);
    }
}

void run_client::on_results(const std::vector<run_result>& results, instant now)
{
    for (const auto& result : results) {
        const auto found = reservations_.find(result.attempt_);
        if (found != reservations_.end()) {
            const auto pending = std::move(found->second);
            reservations_.erase(found);
            if (result.verdict_ == run_verdict::unreachable) {
                abandon_reservation(pending, now); // it may still be granted later
            }
            else {
                pending.callback_(result);
            }
        }
        else if (result.verdict_ == run_verdict::acknowledged) {
            reports_.erase(result.attempt_);
        }
    }
}

void run_client::tick(instant now)
{
    for (auto it = reservations_.begin(); it != reservations_.end();) {
        if (it->second.deadline_ <= now) {
            const auto pending = std::move(it->second);
            it = reservations_.erase(it);
            abandon_reservation(pending, now);
        }
        else {
            ++it;
        }
    }
    for (auto& [attempt, pending] : reports_) {
        if (connected_ && pending.resend_at_ <= now) {
            output_.push_back(pending.operation_);
            pending.resend_at_ = now + options_.resend_interval_;
        }
    }
}

auto run_client::take_output() -> std::vector<run_operation>
{
    return std::exchange(output_, {});
}

} // namespace sycamorewinch
