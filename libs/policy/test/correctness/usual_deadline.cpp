#include <boost/test/unit_test.hpp>

#include "policy/usual_deadline.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_call_with_less_time_has_used_the_rest)
{
    usual_deadline deadline;
    instant now{std::chrono::seconds(100)};
    const auto used = [&](int milliseconds) {
        return to_milliseconds(deadline.time_used(std::chrono::milliseconds(milliseconds), now));
    };
    BOOST_TEST(used(1200) == 0);
    BOOST_TEST(used(900) == 300);
    BOOST_TEST(used(1200) == 0);
    now += usual_deadline::period;
    BOOST_TEST(used(900) == 300); // what was stated in the period before still counts
    now += 2 * usual_deadline::period;
    BOOST_TEST(used(900) == 0);
}
