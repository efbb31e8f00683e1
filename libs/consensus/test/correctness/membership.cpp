// Membership changes of a group on a network without message loss.
#include <map>
#include <set>
#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "consensus/raft.h"

using namespace sycamorewinch;

namespace {

constexpr auto step = std::chrono::milliseconds(10);

/** Replicas with instant storage under virtual time; those in down_ neither send nor receive. */
class dynamic_group {
  public:
    void start(const std::string& name, const std::vector<std::string>& founders = {})
    {
        durable_state state;
        if (!founders.empty()) {
            state.vote_ = {1, {}, true};
            state.entries_ = {{1, 1, entry_kind::membership, encode_membership({founders, {}})}};
        }
        raft_options options{.self_ = name};
        options.random_ = seeded_random(replicas_.size() + 1);
        replicas_.emplace(name, raft::create(options, std::move(state), now_).value());
    }

    void run(std::chrono::milliseconds run_time)
    {
        for (auto end = now_ + run_time; now_ < end; now_ += step) {
            for (auto& [name, replica] : replicas_) {
                replica.tick(now_);
            }
            deliver();
        }
    }

    auto leader() -> raft&
    {
        for (auto& [name, replica] : replicas_) {
            if (replica.role() == raft_role::leader && !down_.contains(name)) {
                return replica;
            }
        }
        BOOST_FAIL("there is no leader");
        throw std::logic_error("unreachable");
    }

    auto propose(const group_membership& next) -> bool
    {
        return leader().propose_membership(next, now_).has_value();
    }

    std::map<std::string, raft> replicas_;
    std::set<std::string> down_;
    instant now_{std::chrono::seconds(1)};

  private:
    void deliver()
    {
        for (bool any = true; any;) {
            any = false;
            for (auto& [name, replica] : replicas_) {
                for (const auto& message : replica.take_output().messages_) {
                    const auto to = replicas_.find(message.to_);
                    if (to != replicas_.end() && !down_.contains(name) &&
                        !down_.contains(message.to_)) {
                        to->second.receive(message, now_);
                        any = true;
                    }
                }
            }
        }
    }
};

const std::vector<std::string> founders{"a", "b", "c"};

struct founded_group : dynamic_group {
    founded_group()
    {
        for (const auto& name : founders) {
            start(name, founders);
        }
        run(std::chrono::seconds(2));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(founders_form_one_group, founded_group)
{
    BOOST_TEST(leader().membership().voters_.size() == 3U);
    BOOST_TEST(leader().commit_index() >= 2U);
}

// Guards against a membership that is committed and that no replica can read, which would end them
// all: a candidate whose name was damaged.
BOOST_FIXTURE_TEST_CASE(a_membership_that_cannot_be_decoded_is_not_proposed, founded_group)
{
    const auto last_index = leader().last_index();
    BOOST_TEST(!propose({founders, {"\xff"}}));
    BOOST_TEST(leader().last_index() == last_index);
    BOOST_TEST(propose({founders, {"d"}}));
}

// Guards against a dead leader that its successor keeps as a voter for a second silence.
BOOST_FIXTURE_TEST_CASE(the_silence_of_the_previous_leader_counts_from_its_last_append,
                        founded_group)
{
    const auto previous = leader().options().self_;
    down_.insert(previous);
    const auto silent_from = now_;
    run(std::chrono::seconds(1));
    BOOST_REQUIRE(leader().options().self_ != previous);
    BOOST_TEST((leader().peers().at(previous).last_reply_at_ <= silent_from));
    BOOST_TEST(!leader().peers().at(previous).has_replied());
}

// A previous leader that has voted for its successor is not silent.
BOOST_FIXTURE_TEST_CASE(a_leader_goes_on_with_the_vote_of_the_previous_one, founded_group)
{
    const auto previous = leader().options().self_;
    std::vector<std::string> others{"a", "b", "c"};
    std::erase(others, previous);
    down_.insert(others.back());
    auto& successor = replicas_.at(others.front());
    run(std::chrono::milliseconds(100));
    BOOST_REQUIRE(leader().transfer_leadership(now_));
    run(std::chrono::seconds(2));
    BOOST_TEST((successor.role() == raft_role::leader));
    BOOST_TEST(successor.term() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_new_replica_joins_as_learner_and_becomes_a_voter, founded_group)
{
    start("d");
    BOOST_REQUIRE(propose({founders, {"d"}}));
    // The silence of a new peer counts from now, not from the epoch.
    BOOST_TEST((leader().peers().at("d").last_reply_at_ == now_));
    run(std::chrono::milliseconds(200));
    BOOST_TEST(leader().peers().at("d").match_index_ == leader().last_index());
    BOOST_REQUIRE(propose({{"a", "b", "c", "d"}, {}}));
    run(std::chrono::milliseconds(200));
    BOOST_TEST(replicas_.at("d").membership().is_voter("d"));
    BOOST_TEST(replicas_.at("d").commit_index() == leader().commit_index());
}

BOOST_FIXTURE_TEST_CASE(a_learner_does_not_count_toward_a_quorum, founded_group)
{
    start("d");
    BOOST_REQUIRE(propose({founders, {"d"}}));
    run(std::chrono::milliseconds(200));
    for (const auto& name : founders) {
        if (&replicas_.at(name) != &leader()) {
            down_.insert(name);
        }
    }
    run(std::chrono::seconds(1));
    for (const auto& [name, replica] : replicas_) {
        BOOST_TEST((down_.contains(name) || replica.role() != raft_role::leader));
    }
}

BOOST_FIXTURE_TEST_CASE(a_change_is_rejected_until_the_previous_one_is_committed, founded_group)
{
    auto& old_leader = leader();
    for (const auto& name : founders) {
        if (&replicas_.at(name) != &old_leader) {
            down_.insert(name);
        }
    }
    BOOST_TEST(propose({founders, {"d"}}));
    BOOST_TEST(!propose({founders, {"d", "e"}}));
}

BOOST_FIXTURE_TEST_CASE(a_removed_leader_steps_down, founded_group)
{
    const auto old = leader().options().self_;
    auto rest = founders;
    std::erase(rest, old);
    BOOST_REQUIRE(propose({rest, {}}));
    run(std::chrono::seconds(2));
    BOOST_TEST(leader().options().self_ != old);
    BOOST_TEST((replicas_.at(old).role() != raft_role::leader));
}

// Guards against a planned end of the leader that leaves the group without one for a lease or more.
BOOST_FIXTURE_TEST_CASE(a_leader_hands_over_well_within_a_lease, founded_group)
{
    auto& old = leader();
    const auto term = old.term();
    const auto short_time = old.options().heartbeat_ * 2;
    BOOST_REQUIRE(short_time < old.options().lease_);
    BOOST_TEST(old.transfer_leadership(now_));
    BOOST_TEST((old.role() == raft_role::follower));
    BOOST_TEST(!old.currency_age(now_).has_value()); // its successor does not wait for the lease
    run(std::chrono::duration_cast<std::chrono::milliseconds>(short_time));
    BOOST_TEST(leader().options().self_ != old.options().self_);
    BOOST_TEST(leader().term() == term + 1);
    BOOST_TEST(leader().commit_index() == leader().last_index());
}

BOOST_FIXTURE_TEST_CASE(a_leader_does_not_hand_over_before_its_entries_are_committed, founded_group)
{
    auto& old = leader();
    BOOST_REQUIRE(old.propose("entry", now_).has_value());
    BOOST_TEST(!old.transfer_leadership(now_));
    BOOST_TEST((old.role() == raft_role::leader));
    run(std::chrono::milliseconds(20));
    BOOST_TEST(old.transfer_leadership(now_));
}

BOOST_FIXTURE_TEST_CASE(a_late_request_to_stand_for_election_is_ignored, founded_group)
{
    raft_message request;
    request.kind_ = raft_message_kind::timeout_now;
    request.from_ = leader().options().self_;
    request.term_ = leader().term();
    BOOST_REQUIRE(leader().transfer_leadership(now_));
    run(std::chrono::milliseconds(200));
    const auto term = leader().term();
    for (auto& [name, replica] : replicas_) {
        request.to_ = name;
        replica.receive(request, now_);
    }
    run(std::chrono::milliseconds(200));
    BOOST_TEST(leader().term() == term);
}

BOOST_FIXTURE_TEST_CASE(two_lost_disks_are_replaced_one_after_the_other, founded_group)
{
    start("d");
    start("e");
    BOOST_REQUIRE(propose({founders, {"d", "e"}}));
    run(std::chrono::milliseconds(200));
    BOOST_REQUIRE(propose({{"a", "b", "c", "d"}, {"e"}}));
    run(std::chrono::milliseconds(200));
    BOOST_REQUIRE(propose({{"a", "b", "c", "d", "e"}, {}}));
    run(std::chrono::milliseconds(200));
    down_ = {"a", "b"}; // never restarted
    run(std::chrono::seconds(2));
    for (const std::string name : {"f", "g"}) {
        start(name);
    }
    auto members = leader().membership();
    const auto change = [&](const group_membership& next) {
        BOOST_REQUIRE(propose(next));
        run(std::chrono::milliseconds(300));
        members = leader().membership();
        BOOST_TEST(leader().commit_index() == leader().last_index());
    };
    change({members.voters_, {"f", "g"}});
    change({{"a", "b", "c", "d", "e", "f"}, {"g"}});
    change({{"b", "c", "d", "e", "f"}, {"g"}});
    change({{"b", "c", "d", "e", "f", "g"}, {}});
    change({{"c", "d", "e", "f", "g"}, {}});
    BOOST_TEST(leader().membership().voters_.size() == 5U);
}

BOOST_FIXTURE_TEST_CASE(a_follower_partitioned_with_its_leader_loses_quorum_contact_within_a_lease,
                        founded_group)
{
    for (const std::string name : {"d", "e"}) {
        start(name);
        auto voters = leader().membership().voters_;
        BOOST_REQUIRE(propose({voters, {name}}));
        run(std::chrono::milliseconds(200));
        voters.push_back(name);
        BOOST_REQUIRE(propose({voters, {}}));
        run(std::chrono::milliseconds(200));
    }
    const auto old = leader().options().self_;
    std::string follower;
    for (const auto& [name, replica] : replicas_) {
        if (name != old && follower.empty()) {
            follower = name;
        }
        else if (name != old) {
            down_.insert(name);
        }
    }
    BOOST_TEST(replicas_.at(follower).has_quorum_contact(now_));
    const auto lease = replicas_.at(old).options().lease_;
    run(std::chrono::duration_cast<std::chrono::milliseconds>(lease) +
        std::chrono::milliseconds(100));
    BOOST_TEST(!replicas_.at(old).has_quorum_contact(now_));
    BOOST_TEST(!replicas_.at(follower).has_quorum_contact(now_));
}

// Guards against a follower that answers for the group while it lacks an entry that its leader has
// committed and acknowledged.
BOOST_FIXTURE_TEST_CASE(a_follower_that_lacks_committed_entries_does_not_know_the_current_state,
                        founded_group)
{
    run(std::chrono::milliseconds(500));
    const auto name = leader().options().self_;
    BOOST_TEST(leader().currency_age(now_).has_value());
    for (auto& [other, replica] : replicas_) {
        if (other == name) {
            continue;
        }
        BOOST_TEST(replica.currency_age(now_).has_value());
        raft_message heartbeat;
        heartbeat.kind_ = raft_message_kind::append_request;
        heartbeat.from_ = name;
        heartbeat.to_ = other;
        heartbeat.term_ = replica.term();
        heartbeat.log_index_ = replica.last_index() + 1;
        heartbeat.log_term_ = replica.term();
        heartbeat.commit_index_ = replica.last_index() + 1;
        replica.receive(heartbeat, now_);
        BOOST_TEST(replica.has_quorum_contact(now_));
        BOOST_TEST(!replica.currency_age(now_).has_value());
    }
}
