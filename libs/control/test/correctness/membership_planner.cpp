#include <boost/test/unit_test.hpp>

#include "control/membership_planner.h"

using namespace sycamorewinch;

namespace {

/** A leader `a:1` and what it knows of its group. */
struct keeper_fixture {
    membership_planner planner_{membership_planner_options{.desired_voters_ = 3}};
    group_membership membership_{{"a:1", "b:1", "c:1"}, {}};
    std::map<std::string, peer_progress> peers_;
    instant now_{std::chrono::seconds(100)};

    keeper_fixture()
    {
        hear("b:1", 50);
        hear("c:1", 50);
    }

    /** A reply from \p name, which holds the log up to \p match. */
    void hear(const std::string& name, std::uint64_t match)
    {
        peers_[name].heard_ = now_;
        peers_[name].match_ = match;
    }

    /** Lets the keeper's changes come into force until it wants none. */
    void settle()
    {
        const leader_view view{"a:1", 50, &peers_};
        while (auto next = planner_.next(membership_, view, now_)) {
            BOOST_REQUIRE(may_follow(membership_, *next));
            membership_ = std::move(*next);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_whole_group_is_left_alone, keeper_fixture)
{
    settle();
    BOOST_TEST((membership_ == group_membership{{"a:1", "b:1", "c:1"}, {}}));
}

BOOST_FIXTURE_TEST_CASE(who_asks_to_join_learns_first, keeper_fixture)
{
    planner_.add_join_request("d:1/7", now_);
    settle();
    BOOST_TEST((membership_ == group_membership{{"a:1", "b:1", "c:1"}, {"d:1/7"}}));
}

BOOST_FIXTURE_TEST_CASE(a_group_that_is_too_small_takes_a_learner_that_has_caught_up,
                        keeper_fixture)
{
    membership_ = {{"a:1", "b:1"}, {"d:1/7"}};
    hear("d:1/7", 10);
    settle();
    BOOST_TEST(membership_.is_learner("d:1/7"));
    BOOST_TEST(!planner_.is_complete(membership_, now_));
    hear("d:1/7", 45);
    settle();
    BOOST_TEST(membership_.is_voter("d:1/7"));
    BOOST_TEST(planner_.is_complete(membership_, now_));
}

BOOST_FIXTURE_TEST_CASE(a_replica_with_a_fresh_disk_takes_its_own_place, keeper_fixture)
{
    planner_.add_join_request("b:1/7", now_);
    settle();
    hear("b:1/7", 50);
    settle();
    BOOST_TEST((membership_ == group_membership{{"a:1", "c:1", "b:1/7"}, {}}));
}

BOOST_FIXTURE_TEST_CASE(a_silent_voter_is_replaced_only_by_a_successor, keeper_fixture)
{
    now_ += std::chrono::seconds(5);
    hear("c:1", 50);
    settle();
    BOOST_TEST(membership_.is_voter("b:1"));
    planner_.add_join_request("d:1/7", now_);
    settle();
    hear("d:1/7", 50);
    settle();
    BOOST_TEST((membership_ == group_membership{{"a:1", "c:1", "d:1/7"}, {}}));
}

BOOST_FIXTURE_TEST_CASE(a_learner_that_fell_silent_is_let_go, keeper_fixture)
{
    membership_.learners_ = {"d:1/7"};
    hear("d:1/7", 50);
    now_ += std::chrono::seconds(11);
    hear("b:1", 50);
    hear("c:1", 50);
    settle();
    BOOST_TEST(membership_.learners_.empty());
}

BOOST_AUTO_TEST_CASE(voters_change_one_at_a_time)
{
    const group_membership three{{"a", "b", "c"}, {}};
    BOOST_TEST(may_follow(three, {{"a", "b", "c", "d"}, {"e"}}));
    BOOST_TEST(may_follow(three, {{"a", "b"}, {}}));
    BOOST_TEST(!may_follow(three, {{"a", "b", "d"}, {}}));
    BOOST_TEST(!may_follow({{"a"}, {}}, {{}, {"a"}}));
}
