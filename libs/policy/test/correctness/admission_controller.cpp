#include <boost/test/unit_test.hpp>

#include "policy/admission_controller.h"

using namespace sycamorewinch;

namespace {

/** Returns a caller's limits at a target; 0 stands for no limit. */
auto make_limits(double rate, double burst, std::uint32_t concurrency) -> limit_share
{
    return {true, rate, burst, concurrency};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_released_slot_can_be_used_again)
{
    admission_controller controller(2);
    const auto limits = make_limits(0, 0, 0);
    auto first = controller.admit("first_caller", limits, instant());
    const auto second = controller.admit("first_caller", limits, instant());
    BOOST_TEST((controller.admit("first_caller", limits, instant()).refusal_ ==
                refusal_reason::target_full));
    first.ticket_ = admission_ticket();
    BOOST_TEST(controller.in_flight() == 1);
    BOOST_TEST(!controller.admit("first_caller", limits, instant()).refusal_.has_value());
}

BOOST_AUTO_TEST_CASE(rate_limit_is_enforced)
{
    admission_controller controller(1000);
    const auto limits = make_limits(50, 5, 0);
    unsigned admitted = 0;
    for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
        const auto now = instant(std::chrono::milliseconds(millisecond));
        admitted += controller.admit("first_caller", limits, now).refusal_ ? 0U : 1U;
    }
    // 50 requests per second for 10 s, and a burst of 5.
    BOOST_TEST(admitted >= 500);
    BOOST_TEST(admitted <= 506);
}

BOOST_AUTO_TEST_CASE(concurrency_is_limited_per_caller)
{
    admission_controller controller(10);
    const auto limits = make_limits(0, 0, 1);
    const auto first = controller.admit("first_caller", limits, instant());
    BOOST_TEST((controller.admit("first_caller", limits, instant()).refusal_ ==
                refusal_reason::concurrency_limited));
    BOOST_TEST(!controller.admit("second_caller", limits, instant()).refusal_.has_value());
    BOOST_TEST(controller.in_flight() == 1);
}

BOOST_AUTO_TEST_CASE(callers_above_fair_share_are_refused_when_few_slots_are_free)
{
    admission_controller controller(10);
    const auto limits = make_limits(0, 0, 0);
    std::vector<admission_result> admitted;
    admitted.push_back(controller.admit("first_caller", limits, instant()));
    for (int call = 0; call < 7; ++call) { // 8 of 10 slots are then used
        admitted.push_back(controller.admit("greedy_caller", limits, instant()));
    }
    BOOST_TEST((controller.admit("greedy_caller", limits, instant()).refusal_ ==
                refusal_reason::overloaded));
    for (int call = 0; call < 2; ++call) {
        admitted.push_back(controller.admit("first_caller", limits, instant()));
        BOOST_TEST(!admitted.back().refusal_.has_value());
    }
    BOOST_TEST((controller.admit("third_caller", limits, instant()).refusal_ ==
                refusal_reason::target_full));
    admitted.clear();
    BOOST_TEST(controller.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(caller_without_competitors_may_use_all_slots)
{
    admission_controller controller(10);
    std::vector<admission_result> admitted;
    for (int call = 0; call < 10; ++call) {
        admitted.push_back(controller.admit("greedy_caller", make_limits(0, 0, 0), instant()));
        BOOST_TEST(!admitted.back().refusal_.has_value());
    }
}

BOOST_AUTO_TEST_CASE(statements_of_a_target_are_void_after_its_restart)
{
    admission_controller controller(10);
    const auto limits = make_limits(0, 0, 0);
    controller.stated_limit().state(0, instant(), instant());
    BOOST_TEST(controller.set_leaving());
    BOOST_TEST(!controller.set_leaving());
    controller.set_draining(false); // an announcement sent before
    BOOST_TEST(
        (controller.admit("", limits, instant()).refusal_ == refusal_reason::target_draining));
    controller.begin_start();
    BOOST_TEST(!controller.admit("", limits, instant()).refusal_.has_value());
    BOOST_TEST(!controller.stated_limit().per_second().has_value());
}
