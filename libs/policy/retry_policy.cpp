#include "policy/retry_policy.h"

#include <algorithm>

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<retry_reason, retry_reason_count> reason_names{
    {"target_draining", "target_full", "target_rate_limited", "no_target", "target_unreachable",
     "target_failed", "table_not_proved", "rate_limited", "concurrency_limited"}};
constexpr enum_names<retry_decision, retry_decision_count> decision_names{
    {"retry", "no_use", "unsafe", "attempts_used", "marked", "deadline", "budget_spent"}};
constexpr std::int64_t thousandths_per_retry = 1'000;

auto is_caller_limit(retry_reason reason) -> bool
{
    return reason == retry_reason::rate_limited || reason == retry_reason::concurrency_limited;
}

auto is_budget_exempt(retry_reason reason) -> bool
{
    return reason == retry_reason::target_draining || reason == retry_reason::table_not_proved ||
           is_caller_limit(reason);
}

} // namespace

auto name_of(retry_reason reason) -> std::string_view
{
    return reason_names.name(reason);
}

auto name_of(retry_decision decision) -> std::string_view
{
    return decision_names.name(decision);
}

auto retry_reason_of(refusal_reason reason) -> std::optional<retry_reason>
{
    return reason_names.parse(name_of(reason)); // both enums use the same names
}

void retry_budget::earn()
{
    auto balance = balance_thousandths_.load(std::memory_order_relaxed);
    while (balance < reserve_thousandths &&
           !balance_thousandths_.compare_exchange_weak(
               balance, std::min(reserve_thousandths, balance + thousandths_per_call),
               std::memory_order_relaxed)) {
    }
}

auto retry_budget::spend() -> bool
{
    auto balance = balance_thousandths_.load(std::memory_order_relaxed);
    while (balance >= thousandths_per_retry) {
        if (balance_thousandths_.compare_exchange_weak(balance, balance - thousandths_per_retry,
                                                       std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

auto decide_retry(const retry_context& context, retry_budget& budget) -> retry_decision
{
    const auto reason = retry_reason_of(context.reason_);
    if (!reason) {
        return retry_decision::no_use;
    }
    const bool may_run_again = context.outcome_ == request_outcome::not_run || context.repeatable_;
    if (!may_run_again || !context.replayable_) {
        return retry_decision::unsafe;
    }
    if (context.has_retry_mark_) {
        return retry_decision::marked;
    }
    if (is_caller_limit(*reason) && (context.attempts_ > 1 || !context.has_untried_target_)) {
        return retry_decision::no_use;
    }
    if (!context.reached_target_ && !context.has_untried_target_) {
        return retry_decision::no_use;
    }
    const bool is_counted = context.reached_target_ && !is_caller_limit(*reason);
    if (is_counted && context.attempts_ > context.retries_) {
        return retry_decision::attempts_used;
    }
    if (context.time_left_ < min_time_for_retry) {
        return retry_decision::deadline;
    }
    if (context.reached_target_ && !is_budget_exempt(*reason) && !budget.spend()) {
        return retry_decision::budget_spent;
    }
    return retry_decision::retry;
}

} // namespace sycamorewinch
