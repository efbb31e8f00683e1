#include <boost/test/unit_test.hpp>

#include "policy/admission.h"

using namespace sycamorewinch;

namespace {

auto limited_row(std::uint32_t rate, std::uint32_t burst, std::uint32_t concurrency) -> row
{
    row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
    one.default_limit_ = {rate, burst, concurrency};
    return one;
}

} // namespace

BOOST_AUTO_TEST_CASE(slots_are_given_back)
{
    admission gate(2);
    const auto row = limited_row(0, 0, 0);
    auto first = gate.admit(row, "desk", 1, instant());
    const auto second = gate.admit(row, "desk", 1, instant());
    BOOST_TEST((gate.admit(row, "desk", 1, instant()).refusal_ == refusal_reason::target_full));
    first.ticket_ = admission_ticket();
    BOOST_TEST(gate.in_flight() == 1);
    BOOST_TEST(!gate.admit(row, "desk", 1, instant()).refusal_.has_value());
}

BOOST_AUTO_TEST_CASE(a_share_of_the_rate_is_granted)
{
    admission gate(1000);
    const auto row = limited_row(100, 10, 0);
    unsigned admitted = 0;
    for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
        const auto now = instant(std::chrono::milliseconds(millisecond));
        admitted += gate.admit(row, "desk", 0.5, now).refusal_ ? 0U : 1U;
    }
    BOOST_TEST(admitted >= 500);
    BOOST_TEST(admitted <= 506);
}

BOOST_AUTO_TEST_CASE(concurrency_counts_per_caller)
{
    admission gate(10);
    const auto row = limited_row(0, 0, 1);
    const auto first = gate.admit(row, "desk", 1, instant());
    BOOST_TEST(
        (gate.admit(row, "desk", 1, instant()).refusal_ == refusal_reason::concurrency_limited));
    BOOST_TEST(!gate.admit(row, "shelter", 1, instant()).refusal_.has_value());
    BOOST_TEST(gate.in_flight() == 1);
}
