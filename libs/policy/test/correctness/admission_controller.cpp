#include <boost/test/unit_test.hpp>

#include "policy/admission_controller.h"

using namespace sycamorewinch;

namespace {

auto share(double rate, double burst, std::uint32_t concurrency) -> limit_share
{
    return {true, rate, burst, concurrency};
}

} // namespace

BOOST_AUTO_TEST_CASE(slots_are_released)
{
    admission_controller controller(2);
    const auto limits = share(0, 0, 0);
    auto first = controller.admit("desk", limits, instant());
    const auto second = controller.admit("desk", limits, instant());
    BOOST_TEST(
        (controller.admit("desk", limits, instant()).refusal_ == refusal_reason::target_full));
    first.ticket_ = admission_ticket();
    BOOST_TEST(controller.in_flight() == 1);
    BOOST_TEST(!controller.admit("desk", limits, instant()).refusal_.has_value());
}

BOOST_AUTO_TEST_CASE(rate_share_is_enforced)
{
    admission_controller controller(1000);
    const auto limits = share(50, 5, 0);
    unsigned admitted = 0;
    for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
        const auto now = instant(std::chrono::milliseconds(millisecond));
        admitted += controller.admit("desk", limits, now).refusal_ ? 0U : 1U;
    }
    BOOST_TEST(admitted >= 500);
    BOOST_TEST(admitted <= 506);
}

BOOST_AUTO_TEST_CASE(concurrency_is_limited_per_caller)
{
    admission_controller controller(10);
    const auto limits = share(0, 0, 1);
    const auto first = controller.admit("desk", limits, instant());
    BOOST_TEST((controller.admit("desk", limits, instant()).refusal_ ==
                refusal_reason::concurrency_limited));
    BOOST_TEST(!controller.admit("shelter", limits, instant()).refusal_.has_value());
    BOOST_TEST(controller.in_flight() == 1);
}

BOOST_AUTO_TEST_CASE(last_quarter_of_slots_refuses_callers_above_fair_share)
{
    admission_controller controller(10);
    const auto limits = share(0, 0, 0);
    std::vector<admission_result> held;
    held.push_back(controller.admit("desk", limits, instant()));
    for (int call = 0; call < 7; ++call) {
        held.push_back(controller.admit("rush", limits, instant()));
    }
    BOOST_TEST(
        (controller.admit("rush", limits, instant()).refusal_ == refusal_reason::overloaded));
    for (int call = 0; call < 2; ++call) {
        held.push_back(controller.admit("desk", limits, instant()));
        BOOST_TEST(!held.back().refusal_.has_value());
    }
    BOOST_TEST(
        (controller.admit("ward", limits, instant()).refusal_ == refusal_reason::target_full));
    held.clear();
    BOOST_TEST(controller.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(single_caller_may_use_all_slots)
{
    admission_controller controller(10);
    std::vector<admission_result> held;
    for (int call = 0; call < 10; ++call) {
        held.push_back(controller.admit("rush", share(0, 0, 0), instant()));
        BOOST_TEST(!held.back().refusal_.has_value());
    }
}
