#include <boost/test/unit_test.hpp>

#include "quota/token_bucket.h"

using namespace sycamorewinch;

namespace {

constexpr instant start{std::chrono::hours(1)};

auto after(std::int64_t milliseconds) -> instant
{
    return start + std::chrono::milliseconds(milliseconds);
}

} // namespace

// A holder that takes over must not grant what its predecessor has granted already.
BOOST_AUTO_TEST_CASE(bucket_begins_empty_and_fills_at_the_rate)
{
    token_bucket bucket(10, 5, start);
    BOOST_TEST(bucket.take(1, start) == 0U);
    BOOST_TEST(bucket.take(1, after(99)) == 0U);
    BOOST_TEST(bucket.take(1, after(100)) == 1U);
    BOOST_TEST(bucket.take(100, after(100'000)) == 5U);
}

// A caller that returns after the stated delay and finds no token was told a wrong time.
BOOST_AUTO_TEST_CASE(token_is_available_after_the_stated_delay)
{
    token_bucket bucket(3, 5, start);
    for (auto now = start; now < after(5'000); now += std::chrono::microseconds(7'919)) {
        const auto later = now + bucket.delay(now);
        BOOST_TEST(bucket.take(2, later) >= 1U);
    }
}

BOOST_AUTO_TEST_CASE(lower_limit_applies_at_once)
{
    token_bucket bucket(100, 50, start);
    bucket.set_limit(1, 2, after(1'000));
    BOOST_TEST(bucket.take(100, after(1'000)) == 2U);
    BOOST_TEST(bucket.take(100, after(2'000)) == 1U);
}

BOOST_AUTO_TEST_CASE(returned_tokens_do_not_exceed_the_capacity)
{
    token_bucket bucket(100, 10, start);
    bucket.put_back(50, start);
    BOOST_TEST(bucket.take(100, start) == 10U);
}

// Clocks of different threads may be read in one order and used in the other.
BOOST_AUTO_TEST_CASE(earlier_time_adds_no_tokens)
{
    token_bucket bucket(100, 10, start);
    BOOST_TEST(bucket.take(100, after(50)) == 5U);
    BOOST_TEST(bucket.take(100, after(10)) == 0U);
    BOOST_TEST(bucket.take(100, after(50)) == 0U);
}
