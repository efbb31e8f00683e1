#include <boost/test/unit_test.hpp>

#include "daemon/target_registry.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_lease_that_runs_out_takes_the_target_away)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    instant now{};
    BOOST_TEST(registry.announce(announcement, now));
    now += std::chrono::seconds(4);
    BOOST_TEST(!registry.announce(announcement, now)); // a renewal is no news
    now += std::chrono::seconds(4);
    BOOST_TEST(registry.expire(now).empty());
    now += std::chrono::seconds(1);
    const auto expired = registry.expire(now);
    BOOST_REQUIRE(expired.size() == 1);
    BOOST_TEST((expired.front().state_ == target_state::gone));
    BOOST_TEST(registry.announce(announcement, now));
    BOOST_TEST(is_newer(registry.records().front(), expired.front()));
}
