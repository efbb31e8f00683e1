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
        peers_[name].round_ = 1;
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

// Guards against voters that leave within a few seconds of one another while their successors only
// wait as learners: they are a majority before the first one is replaced.
BOOST_FIXTURE_TEST_CASE(a_caught_up_learner_becomes_a_voter_although_no_voter_is_lost,
                        planner_fixture)
{
    membership_.learners_ = {"d:1/7", "e:1/7"};
    record_reply("d:1/7", 50);
    record_reply("e:1/7", 10);
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "b:1", "c:1", "d:1/7"}, {"e:1/7"}}));
    now_ += std::chrono::seconds(1);
    record_reply("c:1", 50);
    record_reply("d:1/7", 50);
    record_reply("e:1/7", 10);
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "c:1", "d:1/7"}, {"e:1/7"}}));
}

BOOST_FIXTURE_TEST_CASE(a_voter_that_leaves_is_removed_only_once_replaced, planner_fixture)
{
    planner_.add_leave_request("b:1", now_);
    BOOST_TEST(planner_.may_end("b:1", membership_, now_)); // nobody can take its place
    planner_.add_join_request("d:1/7", now_);
    BOOST_TEST(!planner_.may_end("b:1", membership_, now_));
    apply_planned_changes();
    BOOST_TEST(membership_.is_voter("b:1"));
    BOOST_TEST(!planner_.may_end("b:1", membership_, now_));
    record_reply("d:1/7", 50);
    apply_planned_changes();
    BOOST_TEST((membership_ == group_membership{{"a:1", "c:1", "d:1/7"}, {}}));
    BOOST_TEST(planner_.may_end("b:1", membership_, now_));
}

BOOST_FIXTURE_TEST_CASE(a_leader_that_leaves_is_removed_last, planner_fixture)
{
    membership_ = {{"a:1", "b:1", "c:1", "d:1/7", "e:1/7"}, {}};
    record_reply("d:1/7", 50);
    record_reply("e:1/7", 50);
    planner_.add_leave_request("a:1", now_);
    planner_.add_leave_request("b:1", now_);
    const leader_view view{"a:1", 50, &peers_};
    const auto next = planner_.next(membership_, view, now_);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((next->voters_ == std::vector<std::string>{"a:1", "c:1", "d:1/7", "e:1/7"}));
    apply_planned_changes();
    BOOST_TEST((membership_.voters_ == std::vector<std::string>{"c:1", "d:1/7", "e:1/7"}));
}

// Guards against a removal that can't be committed: with it the voters that are gone without notice
// were half of the next membership, and the group had no leader any more.
BOOST_FIXTURE_TEST_CASE(a_voter_that_leaves_is_kept_while_it_is_needed_for_a_quorum,
                        planner_fixture)
{
    membership_ = {{"a:1", "b:1", "c:1", "d:1", "e:1"}, {}};
    peers_["d:1"].last_reply_at_ = now_; // has not replied to this leader yet
    peers_["e:1"].last_reply_at_ = now_;
    planner_.add_leave_request("b:1", now_);
    apply_planned_changes();
    BOOST_TEST(membership_.is_voter("b:1"));
    now_ += std::chrono::milliseconds(900);
    record_reply("b:1", 50);
    record_reply("c:1", 50);
    apply_planned_changes();
    BOOST_TEST((membership_.voters_ == std::vector<std::string>{"a:1", "b:1", "c:1"}));
}

BOOST_FIXTURE_TEST_CASE(a_replica_that_has_started_again_is_not_leaving, planner_fixture)
{
    planner_.add_leave_request("b:1", now_);
    planner_.add_join_request("b:1", now_);
    membership_.voters_.emplace_back("d:1");
    record_reply("d:1", 50);
    apply_planned_changes();
    BOOST_TEST(membership_.is_voter("b:1"));
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
