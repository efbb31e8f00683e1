#include <boost/test/unit_test.hpp>

#include "policy/timeout_estimator.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(shorter_timeout_is_counted_as_time_used)
{
    timeout_estimator estimator;
    instant now{std::chrono::seconds(100)};
    const auto used = [&](int milliseconds) {
        return to_milliseconds(estimator.time_used(std::chrono::milliseconds(milliseconds), now));
    };
    BOOST_TEST(used(1200) == 0);
    BOOST_TEST(used(900) == 300);
    BOOST_TEST(used(1200) == 0);
    now += timeout_estimator::period;
    BOOST_TEST(used(900) == 300); // times stated in the previous period still count
    now += 2 * timeout_estimator::period;
    BOOST_TEST(used(900) == 0);
}
