#include <boost/test/unit_test.hpp>

#include "policy/admission_controller.h"

using namespace sycamorewinch;

namespace {

auto share(double rate, double burst, std::uint32_t concurrency) -> limit_share
{
    return {true, rate, burst, concurrency};
}

} // namespace

BOOST_AUTO_TEST_CASE(slots_are_given_back)
{
    admission_controller gate(2);
    const auto limits = share(0, 0, 0);
    auto first = gate.admit("desk", limits, instant());
    const auto second = gate.admit("desk", limits, instant());
    BOOST_TEST((gate.admit("desk", limits, instant()).refusal_ == refusal_reason::target_full));
    first.ticket_ = admission_ticket();
    BOOST_TEST(gate.in_flight() == 1);
    BOOST_TEST(!gate.admit("desk", limits, instant()).refusal_.has_value());
}

BOOST_AUTO_TEST_CASE(a_share_of_the_rate_is_granted)
{
    admission_controller gate(1000);
    const auto limits = share(50, 5, 0);
    unsigned admitted = 0;
    for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
        const auto now = instant(std::chrono::milliseconds(millisecond));
        admitted += gate.admit("desk", limits, now).refusal_ ? 0U : 1U;
    }
    BOOST_TEST(admitted >= 500);
    BOOST_TEST(admitted <= 506);
}

BOOST_AUTO_TEST_CASE(concurrency_counts_per_caller)
{
    admission_controller gate(10);
    const auto limits = share(0, 0, 1);
    const auto first = gate.admit("desk", limits, instant());
    BOOST_TEST(
        (gate.admit("desk", limits, instant()).refusal_ == refusal_reason::concurrency_limited));
    BOOST_TEST(!gate.admit("shelter", limits, instant()).refusal_.has_value());
    BOOST_TEST(gate.in_flight() == 1);
}

BOOST_AUTO_TEST_CASE(the_last_slots_are_kept_from_a_caller_above_its_even_part)
{
    admission_controller gate(10);
    const auto limits = share(0, 0, 0);
    std::vector<admission_result> held;
    held.push_back(gate.admit("desk", limits, instant()));
    for (int call = 0; call < 7; ++call) {
        held.push_back(gate.admit("rush", limits, instant()));
    }
    BOOST_TEST((gate.admit("rush", limits, instant()).refusal_ == refusal_reason::overloaded));
    for (int call = 0; call < 2; ++call) {
        held.push_back(gate.admit("desk", limits, instant()));
        BOOST_TEST(!held.back().refusal_.has_value());
    }
    BOOST_TEST((gate.admit("ward", limits, instant()).refusal_ == refusal_reason::target_full));
    held.clear();
    BOOST_TEST(gate.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(a_lone_caller_may_take_every_slot)
{
    admission_controller gate(10);
    std::vector<admission_result> held;
    for (int call = 0; call < 10; ++call) {
        held.push_back(gate.admit("rush", share(0, 0, 0), instant()));
        BOOST_TEST(!held.back().refusal_.has_value());
    }
}
