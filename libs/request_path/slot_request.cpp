#include "request_path/slot_request.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

slot_request::slot_request(slot_source source, slot_demand demand, slot_hooks hooks)
    : source_(std::move(source)), demand_(std::move(demand)), hooks_(std::move(hooks))
{
}

void slot_request::start()
{
    source_.reservation_->on_arrival(demand_.row_, demand_.priority_,
                                     source_.queue_.service_time(demand_.row_), monotonic_now());
    if (const auto reason = try_admit()) {
        enqueue_or_refuse(*reason);
        return;
    }
    admitted();
}

auto slot_request::try_admit() -> std::optional<refusal_reason>
{
    const auto now = monotonic_now();
    if (!source_.reservation_->admits(demand_.row_, source_.admission_->slots(), now)) {
        return refusal_reason::target_full;
    }
    auto decision = source_.admission_->admit(demand_.caller_, demand_.limit_share_, now);
    if (!decision.refusal_) {
        ticket_ = std::move(decision.ticket_);
        slot_use_ = slot_use(source_.reservation_, demand_.row_);
    }
    return decision.refusal_;
}

/** Queues the request if the target has no room at present and the expected wait is below
 * max_wait(); refuses it otherwise. Other reasons for a refusal do not pass by waiting. A wait that
 * lets the response miss the row's target latency is worth it only if no other target is left to
 * try, and one that lets it miss the call's deadline never is. */
void slot_request::enqueue_or_refuse(refusal_reason reason)
{
    const auto wait = expected_wait();
    const auto service_time = source_.queue_.service_time(demand_.row_);
    const auto wait_within_budget =
        max_wait(demand_.latency_budget_, service_time, demand_.is_last_choice_);
    const auto wait_before_deadline =
        max_wait_before_deadline(demand_.time_left_, service_time, demand_.refusal_delay_);
    const auto wait_limit = std::min(wait_within_budget, wait_before_deadline);
    if (!is_lack_of_room(reason) || wait >= wait_limit) {
        refuse(reason, wait);
        return;
    }
    wait_reason_ = reason;
    wait_end_ = monotonic_now() + wait_limit;
    wait_ends_with_deadline_ = wait_before_deadline <= wait_within_budget;
    const auto self = shared_from_this();
    position_ = source_.queue_.enqueue(rank(), service_time, [self] { return self->try_start(); });
    source_.meter_->on_wait_begun();
    wait_timer_.emplace([this] { on_wait_timeout(); });
    wait_timer_->start_at(wait_end_);
    await_rate();
}

void slot_request::on_wait_timeout()
{
    const auto self = shared_from_this(); // leave_queue() destroys the queue's reference
    leave_queue();
    // Another target would not have the time that this one lacked.
    refuse(wait_ends_with_deadline_ ? refusal_reason::not_started_in_time : wait_reason_,
           expected_wait());
    source_.queue_.start_waiting(); // the next request may wait for the target's rate
}

/** If the request waits for the target's rate, lets the queue start requests once the rate admits
 * another one. */
void slot_request::await_rate()
{
    if (wait_reason_ != refusal_reason::target_rate_limited) {
        return;
    }
    rate_timer_.emplace([this] {
        const auto self = shared_from_this(); // the request may leave the queue
        source_.queue_.start_waiting();
    });
    rate_timer_->start(source_.admission_->stated_limit().delay(0, monotonic_now()));
}

auto slot_request::rank() const -> queue_rank
{
    return make_queue_rank(demand_.priority_, demand_.latency_budget_,
                           source_.queue_.service_time(demand_.row_), monotonic_now());
}

auto slot_request::expected_wait() const -> duration
{
    const auto position = rank();
    const auto& queue = source_.queue_;
    const auto rate_delay =
        source_.admission_->stated_limit().delay(queue.requests_ahead(position), monotonic_now());
    return std::max(queue.expected_wait(position, source_.admission_->slots()), rate_delay);
}

/** Returns whether the target's rate admits no request before the longest wait has ended. */
auto slot_request::is_wait_hopeless() const -> bool
{
    const auto now = monotonic_now();
    return now + source_.admission_->stated_limit().delay(0, now) >= wait_end_;
}

/** Called by the queue when the request may be admitted. Returns whether it has left the queue,
 * either admitted or refused. */
auto slot_request::try_start() -> bool
{
    const auto reason = try_admit();
    if (reason && is_lack_of_room(*reason) && !is_wait_hopeless()) {
        wait_reason_ = *reason;
        await_rate();
        return false;
    }
    const auto self = shared_from_this(); // leave_queue() destroys the queue's reference
    leave_queue();
    if (reason) {
        refuse(*reason, is_lack_of_room(*reason) ? expected_wait() : duration(0));
    }
    else {
        admitted();
    }
    return true;
}

void slot_request::leave_queue()
{
    wait_timer_.reset();
    rate_timer_.reset();
    if (const auto position = std::exchange(position_, std::nullopt)) {
        source_.queue_.remove(*position);
        source_.meter_->on_wait_ended();
    }
}

// The hooks own the exchange that owns this request, so they are dropped when one is called.
void slot_request::admitted()
{
    const auto hooks = std::exchange(hooks_, {});
    hooks.on_admitted_();
}

void slot_request::refuse(refusal_reason reason, duration retry_after)
{
    const auto hooks = std::exchange(hooks_, {});
    hooks.on_refused_(reason, retry_after);
}

void slot_request::release()
{
    const auto self = shared_from_this(); // leave_queue() destroys the queue's reference
    const auto hooks = std::exchange(hooks_, {});
    leave_queue();
    ticket_ = admission_ticket();
    slot_use_ = slot_use();
    source_.queue_.start_waiting();
}

} // namespace sycamorewinch
