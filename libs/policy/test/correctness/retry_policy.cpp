#include <boost/test/unit_test.hpp>

#include "policy/retry_policy.h"

using namespace sycamorewinch;

namespace {

/** A question that is answered by a retry. */
auto good_question() -> retry_context
{
    retry_context question;
    question.reason_ = refusal_reason::target_full;
    question.outcome_ = request_outcome::not_run;
    question.retries_ = 1;
    question.time_left_ = std::chrono::seconds(1);
    return question;
}

auto decide(const retry_context& question) -> retry_decision
{
    retry_budget budget;
    return decide_retry(question, budget);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_safe_retry_with_time_left_is_made)
{
    BOOST_TEST((decide(good_question()) == retry_decision::retry));
}

BOOST_AUTO_TEST_CASE(what_may_have_run_is_retried_only_if_repeatable)
{
    auto question = good_question();
    question.reason_ = refusal_reason::target_failed;
    question.outcome_ = request_outcome::unknown;
    BOOST_TEST((decide(question) == retry_decision::unsafe));
    question.repeatable_ = true;
    BOOST_TEST((decide(question) == retry_decision::retry));
    question.outcome_ = request_outcome::ran;
    question.repeatable_ = false;
    BOOST_TEST((decide(question) == retry_decision::unsafe));
}

BOOST_AUTO_TEST_CASE(a_body_that_is_gone_is_not_sent_again)
{
    auto question = good_question();
    question.replayable_ = false;
    BOOST_TEST((decide(question) == retry_decision::unsafe));
}

BOOST_AUTO_TEST_CASE(a_marked_call_is_not_retried)
{
    auto question = good_question();
    question.has_retry_mark_ = true;
    BOOST_TEST((decide(question) == retry_decision::marked));
}

BOOST_AUTO_TEST_CASE(no_retry_starts_just_before_the_deadline)
{
    auto question = good_question();
    question.time_left_ = least_time_for_retry - duration(1);
    BOOST_TEST((decide(question) == retry_decision::deadline));
}

BOOST_AUTO_TEST_CASE(a_limit_is_asked_for_at_one_further_target_only)
{
    auto question = good_question();
    question.retries_ = 0;
    question.reason_ = refusal_reason::rate_limited;
    BOOST_TEST((decide(question) == retry_decision::retry));
    question.has_untried_target_ = false;
    BOOST_TEST((decide(question) == retry_decision::no_use));
    question.has_untried_target_ = true;
    question.attempts_ = 2;
    question.retries_ = 9;
    BOOST_TEST((decide(question) == retry_decision::no_use));
}

BOOST_AUTO_TEST_CASE(no_use_in_another_target_for_what_every_target_refuses)
{
    auto question = good_question();
    question.reason_ = refusal_reason::key_reused;
    BOOST_TEST((decide(question) == retry_decision::no_use));
}

BOOST_AUTO_TEST_CASE(retries_stay_a_fraction_of_the_calls)
{
    retry_budget budget;
    unsigned retries = 0;
    constexpr unsigned calls = 10'000;
    for (unsigned call = 0; call < calls; ++call) {
        budget.earn();
        retries += decide_retry(good_question(), budget) == retry_decision::retry ? 1U : 0U;
    }
    const auto reserve = retry_budget::reserve_thousandths / 1'000;
    BOOST_TEST(retries <= calls * retry_budget::thousandths_per_call / 1'000 + reserve);
    BOOST_TEST(retries > 0U);
}

BOOST_AUTO_TEST_CASE(a_draining_target_costs_no_budget)
{
    retry_budget budget;
    auto question = good_question();
    question.reason_ = refusal_reason::target_draining;
    for (unsigned call = 0; call < 1'000; ++call) {
        BOOST_TEST((decide_retry(question, budget) == retry_decision::retry));
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
