#include <boost/test/unit_test.hpp>

#include "standin/stated_load.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

constexpr double rate = 8; ///< Requests per second; 53 are allowed within 4 s.

/** Sends requests every \p interval to a target that states its rate, for \p length, and returns
 * how many of them it should not have got. */
auto excess_requests(milliseconds interval, milliseconds length) -> unsigned
{
    stated_load load({.max_rate_ = rate}, instant());
    unsigned excess = 0;
    for (auto now = instant(); now < instant() + length; now += interval) {
        excess += load.on_request(now) ? 1U : 0U;
        (void)load.response_fields(now);
    }
    return excess;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_at_the_stated_rate_are_allowed)
{
    BOOST_TEST(excess_requests(milliseconds(125), std::chrono::seconds(30)) == 0U);
}

BOOST_AUTO_TEST_CASE(twice_the_stated_rate_is_reported_after_the_grace_time)
{
    BOOST_TEST(excess_requests(milliseconds(62), std::chrono::seconds(3)) == 0U);
    BOOST_TEST(excess_requests(milliseconds(62), std::chrono::seconds(10)) > 0U);
}

BOOST_AUTO_TEST_CASE(requests_that_arrived_during_a_suspension_are_not_counted_together)
{
    stated_load load({.max_rate_ = rate}, instant());
    (void)load.response_fields(instant());
    auto now = instant(std::chrono::seconds(5));
    load.on_tick(now);
    for (unsigned request = 0; request < 50; ++request) {
        BOOST_TEST(!load.on_request(now).has_value());
    }
    now += std::chrono::seconds(3);
    for (unsigned request = 0; request < 50; ++request) {
        BOOST_TEST(!load.on_request(now).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_request_to_a_leaving_target_is_reported_after_the_grace_time)
{
    stated_load load({.leave_after_ = std::chrono::seconds(1)}, instant());
    BOOST_TEST(load.response_fields(instant()).empty());
    const auto said = instant(std::chrono::seconds(2));
    BOOST_TEST(load.response_fields(said).size() == 1U);
    BOOST_TEST(!load.on_request(said + stated_load::leave_grace).has_value());
    BOOST_TEST(load.on_request(said + stated_load::leave_grace + milliseconds(1)).has_value());
}
