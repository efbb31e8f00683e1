#include <boost/test/unit_test.hpp>

#include "policy/stated_rate_limit.h"

using namespace sycamorewinch;

namespace {

auto at_ms(std::int64_t milliseconds) -> instant
{
    return instant(std::chrono::milliseconds(milliseconds));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_limit_holds_until_a_response_lifts_it)
{
    stated_rate_limit limit;
    BOOST_TEST(!limit.per_second().has_value());
    BOOST_TEST(limit.state(15.3, at_ms(0), at_ms(100)));
    BOOST_TEST(limit.per_second().value_or(-1) == 15.3);
    BOOST_TEST(!limit.state(15.3, at_ms(110), at_ms(200)));
    BOOST_TEST(limit.state(std::nullopt, at_ms(210), at_ms(300)));
    BOOST_TEST(!limit.per_second().has_value());
}

BOOST_AUTO_TEST_CASE(a_response_to_a_request_sent_before_the_limit_does_not_raise_it)
{
    stated_rate_limit limit;
    limit.state(10, at_ms(0), at_ms(100));
    BOOST_TEST(!limit.state(20, at_ms(50), at_ms(150)));
    BOOST_TEST(!limit.state(std::nullopt, at_ms(60), at_ms(160)));
    BOOST_TEST(limit.per_second().value_or(-1) == 10);
    BOOST_TEST(limit.state(20, at_ms(110), at_ms(210)));
    BOOST_TEST(limit.per_second().value_or(-1) == 20);
}

BOOST_AUTO_TEST_CASE(a_late_response_lowers_the_limit)
{
    stated_rate_limit limit;
    limit.state(10, at_ms(0), at_ms(100));
    BOOST_TEST(limit.state(5, at_ms(50), at_ms(150)));
    BOOST_TEST(limit.per_second().value_or(-1) == 5);
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_is_a_limit)
{
    stated_rate_limit limit;
    limit.state(0, at_ms(0), at_ms(100));
    BOOST_TEST(limit.per_second().value_or(-1) == 0);
}
