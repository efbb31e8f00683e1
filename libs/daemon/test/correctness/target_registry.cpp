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

BOOST_AUTO_TEST_CASE(the_nodes_own_word_beats_a_mark_of_gone)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    registry.announce(announcement, instant{});
    auto marked = registry.records().front();
    marked.state_ = target_state::gone;
    ++marked.sequence_;
    BOOST_TEST(is_newer(marked, registry.records().front()));
    BOOST_REQUIRE(registry.drain_all().size() == 1);
    BOOST_TEST(is_newer(registry.records().front(), marked));
}

BOOST_AUTO_TEST_CASE(news_of_a_later_incarnation_is_refuted)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    registry.announce(announcement, instant{});
    auto earlier_life = registry.records().front();
    earlier_life.incarnation_ = 9;
    BOOST_REQUIRE(registry.refute({earlier_life}).size() == 1);
    BOOST_TEST(is_newer(registry.records().front(), earlier_life));
    earlier_life.incarnation_ = 99;
    earlier_life.node_address_ = "127.0.0.1:2";
    BOOST_TEST(registry.refute({earlier_life}).empty()); // another node has taken it over
}
