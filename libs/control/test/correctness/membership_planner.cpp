#include <boost/test/unit_test.hpp>

#include "control/membership_planner.h"

using namespace sycamorewinch;

namespace {

/** The leader `a:1` and its view of the group. */
struct planner_fixture {
    membership_planner planner_{membership_planner_options{.desired_voters_ = 3}};
    group_membership membership_{{"a:1", "b:1", "c:1"}, {}};
    std::map<std::string, peer_progress> peers_;
    instant now_{std::chrono::seconds(100)};

    planner_fixture()
    {
        record_reply("b:1", 50);
        record_reply("c:1", 50);
    }

    /** Records a reply from \p name, which stores the log up to \p match_index. */
    void record_reply(const std::string& name, std::uint64_t match_index)
    {
        peers_[name].last_reply_at_ = now_;
        peers_[name].match_index_ = match_index;
    }

    /** Applies the planned changes until none is planned. */
    void apply_planned_changes()
    {
        const leader_view view{"a:1", 50, &peers_};
        while (auto next = planner_.next(membership_, view, now_)) {
            BOOST_REQUIRE(is_valid_change(membership_, *next));
            membership_ = std::move(*next);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_complete_group_is_not_changed, planner_fixture)
{
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "b:1", "c:1"}, {}}));
}

BOOST_FIXTURE_TEST_CASE(a_replica_that_requests_to_join_becomes_a_learner, planner_fixture)
{
    planner_.add_join_request("d:1/7", now_);
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "b:1", "c:1"}, {"d:1/7"}}));
}

BOOST_FIXTURE_TEST_CASE(a_group_short_of_voters_promotes_a_caught_up_learner, planner_fixture)
{
    membership_ = {{"a:1", "b:1"}, {"d:1/7"}};
    record_reply("d:1/7", 10);
    apply_planned_changes();
    BOOST_TEST(membership_.is_learner("d:1/7"));
    BOOST_TEST(!planner_.is_complete(membership_, now_));
    record_reply("d:1/7", 45);
    apply_planned_changes();
    BOOST_TEST(membership_.is_voter("d:1/7"));
    BOOST_TEST(planner_.is_complete(membership_, now_));
}

BOOST_FIXTURE_TEST_CASE(a_replica_with_a_new_disk_replaces_its_former_incarnation, planner_fixture)
{
    planner_.add_join_request("b:1/7", now_);
    apply_planned_changes();
    record_reply("b:1/7", 50);
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "c:1", "b:1/7"}, {}}));
}

BOOST_FIXTURE_TEST_CASE(an_unresponsive_voter_is_removed_only_once_replaced, planner_fixture)
{
    now_ += std::chrono::seconds(5);
    record_reply("c:1", 50);
    apply_planned_changes();
    BOOST_TEST(membership_.is_voter("b:1"));
    planner_.add_join_request("d:1/7", now_);
    apply_planned_changes();
    record_reply("d:1/7", 50);
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "c:1", "d:1/7"}, {}}));
}

BOOST_FIXTURE_TEST_CASE(an_unresponsive_learner_is_removed, planner_fixture)
{
    membership_.learners_ = {"d:1/7"};
    record_reply("d:1/7", 50);
    now_ += std::chrono::seconds(11);
    record_reply("b:1", 50);
    record_reply("c:1", 50);
    apply_planned_changes();
    BOOST_TEST(membership_.learners_.empty());
}

BOOST_AUTO_TEST_CASE(voters_change_one_at_a_time)
{
    const group_membership three{{"a", "b", "c"}, {}};
    BOOST_TEST(is_valid_change(three, {{"a", "b", "c", "d"}, {"e"}}));
    BOOST_TEST(is_valid_change(three, {{"a", "b"}, {}}));
    BOOST_TEST(!is_valid_change(three, {{"a", "b", "d"}, {}}));
    BOOST_TEST(!is_valid_change({{"a"}, {}}, {{}, {"a"}}));
}
