#include <boost/test/unit_test.hpp>

#include "observability/log_rate_limiter.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(excess_lines_of_one_event_are_suppressed_and_counted_without_affecting_others)
{
    log_rate_limiter limiter;
    instant now{std::chrono::seconds(1)};
    int written = 0;
    for (int line = 0; line < 10'000; ++line) {
        written += limiter.acquire("call_refused", now) ? 1 : 0;
    }
    BOOST_TEST(written == log_rate_limiter::burst_lines);
    BOOST_TEST((limiter.acquire("table_in_force", now) == 0U));
    now += std::chrono::seconds(1);
    BOOST_TEST((limiter.acquire("call_refused", now) == 10'000U - log_rate_limiter::burst_lines));
    BOOST_TEST((limiter.acquire("call_refused", now) == 0U));
}
