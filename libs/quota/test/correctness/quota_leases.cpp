#include <boost/test/unit_test.hpp>

#include "quota/quota_leases.h"

using namespace sycamorewinch;

namespace {

constexpr instant start{std::chrono::hours(1)};
constexpr std::chrono::milliseconds lifetime{1'000};

auto after(std::int64_t milliseconds) -> instant
{
    return start + std::chrono::milliseconds(milliseconds);
}

} // namespace

// A node that was frozen must not use tokens that its holder has granted to others since.
BOOST_AUTO_TEST_CASE(tokens_expire_one_second_after_they_were_asked_for)
{
    quota_leases leases;
    leases.add({3, lifetime, {}}, "a", 3, start, after(200));
    BOOST_TEST(leases.take(after(999)));
    BOOST_TEST(!leases.take(after(1'000)));
    BOOST_TEST(leases.take_expired_count() == 2U);
    leases.add({1, lifetime, {}}, "a", 1, start, after(1'100));
    BOOST_TEST(!leases.take(after(1'100)));
}

BOOST_AUTO_TEST_CASE(expired_tokens_are_returned_once_and_only_to_their_issuer)
{
    quota_leases leases;
    leases.add({3, lifetime, {}}, "a", 3, start, start);
    BOOST_TEST(leases.return_expired("a", after(500)) == 0U);
    BOOST_TEST(leases.return_expired("a", after(1'000)) == 3U);
    BOOST_TEST(leases.return_expired("a", after(1'000)) == 0U);
    leases.add({3, lifetime, {}}, "a", 3, after(2'000), after(2'000));
    BOOST_TEST(leases.return_expired("b", after(4'000)) == 0U);
    BOOST_TEST(leases.return_expired("a", after(4'000)) == 0U);
}

BOOST_AUTO_TEST_CASE(refusal_is_repeated_without_asking_for_the_stated_time)
{
    quota_leases leases;
    leases.add({0, lifetime, std::chrono::milliseconds(40)}, "a", 1, start, after(10));
    BOOST_TEST((leases.refused_for(after(20)) == std::chrono::milliseconds(30)));
    BOOST_TEST((leases.refused_for(after(50)) == duration(0)));
    leases.add({0, lifetime, std::chrono::hours(1)}, "a", 1, start, after(100));
    BOOST_TEST((leases.refused_for(after(100)) == std::chrono::seconds(1)));
    leases.clear_refusal();
    BOOST_TEST((leases.refused_for(after(100)) == duration(0)));
}

BOOST_AUTO_TEST_CASE(tokens_ahead_are_those_of_the_next_quarter_second)
{
    quota_leases leases;
    for (int count = 0; count < 1'000; ++count) { // 100 requests/s
        leases.count_demand(after(count * 10));
    }
    BOOST_TEST(leases.tokens_ahead(after(10'000)) >= 23U);
    BOOST_TEST(leases.tokens_ahead(after(10'000)) <= 27U);
    BOOST_TEST(leases.tokens_ahead(after(15'000)) == 0U);
}
