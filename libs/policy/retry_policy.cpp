#include "policy/retry_policy.h"

#include <algorithm>

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<retry_reason, retry_reason_count> reason_names{
    {"target_draining", "target_full", "no_target", "target_unreachable", "target_failed",
     "table_not_proved", "rate_limited", "concurrency_limited"}};
constexpr enum_names<retry_decision, retry_decision_count> decision_names{
    {"retry", "no_use", "unsafe", "attempts_used", "marked", "deadline", "budget_spent"}};
constexpr std::int64_t thousandths_per_retry = 1'000;

auto is_limit(retry_reason reason) -> bool
{
    return reason == retry_reason::rate_limited || reason == retry_reason::concurrency_limited;
}

auto is_free(retry_reason reason) -> bool
{
    return reason == retry_reason::target_draining || reason == retry_reason::table_not_proved ||
           is_limit(reason);
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
    return reason_names.parse(name_of(reason)); // both tables use the same names
}

void retry_budget::earn()
{
    auto held = thousandths_.load(std::memory_order_relaxed);
    while (held < reserve_thousandths &&
           !thousandths_.compare_exchange_weak(
               held, std::min(reserve_thousandths, held + thousandths_per_call),
               std::memory_order_relaxed)) {
    }
}

auto retry_budget::spend() -> bool
{
    auto held = thousandths_.load(std::memory_order_relaxed);
    while (held >= thousandths_per_retry) {
        if (thousandths_.compare_exchange_weak(held, held - thousandths_per_retry,
                                               std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

auto decide_retry(const retry_context& question, retry_budget& budget) -> retry_decision
{
    const auto reason = retry_reason_of(question.reason_);
    if (!reason) {
        return retry_decision::no_use;
    }
    const bool may_run_again =
        question.outcome_ == request_outcome::not_run || question.repeatable_;
    if (!may_run_again || !question.replayable_) {
        return retry_decision::unsafe;
    }
    if (question.has_retry_mark_) {
        return retry_decision::marked;
    }
    if (is_limit(*reason) && (question.attempts_ > 1 || !question.has_untried_target_)) {
        return retry_decision::no_use;
    }
    if (!question.reached_target_ && !question.has_untried_target_) {
        return retry_decision::no_use;
    }
    const bool is_counted = question.reached_target_ && !is_limit(*reason);
    if (is_counted && question.attempts_ > question.retries_) {
        return retry_decision::attempts_used;
    }
    if (question.time_left_ < least_time_for_retry) {
        return retry_decision::deadline;
    }
    if (question.reached_target_ && !is_free(*reason) && !budget.spend()) {
        return retry_decision::budget_spent;
    }
    return retry_decision::retry;
}

} // namespace sycamorewinch
