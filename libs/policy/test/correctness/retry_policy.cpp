#include <boost/test/unit_test.hpp>

#include "policy/retry_policy.h"

using namespace sycamorewinch;

namespace {

/** Returns a context for which decide_retry() returns retry. */
auto retryable_context() -> retry_context
{
    retry_context context;
    context.reason_ = refusal_reason::target_full;
    context.outcome_ = request_outcome::not_run;
    context.retries_ = 1;
    context.time_left_ = std::chrono::seconds(1);
    return context;
}

auto decide(const retry_context& context) -> retry_decision
{
    retry_budget budget;
    return decide_retry(context, budget);
}

} // namespace

BOOST_AUTO_TEST_CASE(safe_attempt_with_time_left_is_retried)
{
    BOOST_TEST((decide(retryable_context()) == retry_decision::retry));
}

BOOST_AUTO_TEST_CASE(possibly_run_request_is_retried_only_if_repeatable)
{
    auto context = retryable_context();
    context.reason_ = refusal_reason::target_failed;
    context.outcome_ = request_outcome::unknown;
    BOOST_TEST((decide(context) == retry_decision::unsafe));
    context.repeatable_ = true;
    BOOST_TEST((decide(context) == retry_decision::retry));
    context.outcome_ = request_outcome::ran;
    context.repeatable_ = false;
    BOOST_TEST((decide(context) == retry_decision::unsafe));
}

BOOST_AUTO_TEST_CASE(request_without_retained_body_is_not_retried)
{
    auto context = retryable_context();
    context.replayable_ = false;
    BOOST_TEST((decide(context) == retry_decision::unsafe));
}

BOOST_AUTO_TEST_CASE(call_with_retry_mark_is_not_retried)
{
    auto context = retryable_context();
    context.has_retry_mark_ = true;
    BOOST_TEST((decide(context) == retry_decision::marked));
}

BOOST_AUTO_TEST_CASE(no_retry_starts_just_before_the_deadline)
{
    auto context = retryable_context();
    context.time_left_ = min_time_for_retry - duration(1);
    BOOST_TEST((decide(context) == retry_decision::deadline));
}

BOOST_AUTO_TEST_CASE(limit_refusal_is_retried_at_one_other_target_only)
{
    auto context = retryable_context();
    context.retries_ = 0;
    context.reason_ = refusal_reason::rate_limited;
    BOOST_TEST((decide(context) == retry_decision::retry));
    context.has_untried_target_ = false;
    BOOST_TEST((decide(context) == retry_decision::no_use));
    context.has_untried_target_ = true;
    context.attempts_ = 2;
    context.retries_ = 9;
    BOOST_TEST((decide(context) == retry_decision::no_use));
}

BOOST_AUTO_TEST_CASE(refusal_common_to_all_targets_is_not_retried)
{
    auto context = retryable_context();
    context.reason_ = refusal_reason::key_reused;
    BOOST_TEST((decide(context) == retry_decision::no_use));
}

BOOST_AUTO_TEST_CASE(retries_are_bounded_by_the_budget)
{
    retry_budget budget;
    unsigned retries = 0;
    constexpr unsigned calls = 10'000;
    for (unsigned call = 0; call < calls; ++call) {
        budget.earn();
        retries += decide_retry(retryable_context(), budget) == retry_decision::retry ? 1U : 0U;
    }
    const auto reserve = retry_budget::reserve_thousandths / 1'000;
    BOOST_TEST(retries <= calls * retry_budget::thousandths_per_call / 1'000 + reserve);
    BOOST_TEST(retries > 0U);
}

BOOST_AUTO_TEST_CASE(draining_target_costs_no_budget)
{
    retry_budget budget;
    auto context = retryable_context();
    context.reason_ = refusal_reason::target_draining;
    for (unsigned call = 0; call < 1'000; ++call) {
        BOOST_TEST((decide_retry(context, budget) == retry_decision::retry));
    }
    BOOST_TEST(budget.spend());
}

BOOST_AUTO_TEST_CASE(every_retry_reason_is_a_refusal_reason)
{
    for (std::size_t index = 0; index < retry_reason_count; ++index) {
        const auto reason = static_cast<retry_reason>(index);
        const auto refusal = parse_refusal_reason(name_of(reason));
        BOOST_REQUIRE(refusal.has_value());
        BOOST_TEST((retry_reason_of(*refusal) == reason));
    }
}
