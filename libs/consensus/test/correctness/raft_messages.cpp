#include <boost/test/unit_test.hpp>

#include "consensus/raft.h"

using namespace sycamorewinch;

namespace {

constexpr auto second = std::chrono::seconds(1);

auto make_replica(durable_state state, instant now) -> raft
{
    raft_options options{.self_ = "a", .voters_ = {"a", "b", "c"}};
    options.random_ = seeded_random(1);
    return raft::create(std::move(options), std::move(state), now).value();
}

auto reply(raft_message_kind kind, const raft_message& to, std::uint64_t index) -> raft_message
{
    raft_message answer;
    answer.kind_ = kind;
    answer.from_ = to.to_;
    answer.to_ = to.from_;
    answer.term_ = to.term_;
    answer.round_ = to.round_;
    answer.accepted_ = true;
    answer.log_index_ = index;
    return answer;
}

/** Makes \p replica the leader with the votes of "b". */
auto elect(raft& replica, instant now) -> raft_output
{
    replica.tick(now);
    const auto asked = replica.take_output().messages_.at(0);
    replica.receive(reply(raft_message_kind::pre_vote_reply, asked, 0), now);
    const auto vote = replica.take_output().messages_.at(0);
    replica.receive(reply(raft_message_kind::vote_reply, vote, 0), now);
    BOOST_REQUIRE((replica.role() == raft_role::leader));
    return replica.take_output();
}

auto bytes_to(const raft_output& output, const std::string& name) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto& message : output.messages_) {
        for (const auto& entry : message.entries_) {
            bytes += message.to_ == name ? entry.payload_.size() : 0;
        }
    }
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(pre_votes_without_answers_do_not_raise_the_term)
{
    instant now{};
    auto replica = make_replica({{4, "b", true}, {}, {}}, now);
    for (int round = 0; round < 10; ++round) {
        now += second;
        replica.tick(now);
    }
    BOOST_TEST(replica.term() == 4);
    BOOST_TEST(!replica.take_output().vote_.has_value());
}

BOOST_AUTO_TEST_CASE(a_pre_vote_is_rejected_while_a_leader_is_alive)
{
    instant now{};
    auto replica = make_replica({{0, "", true}, {}, {}}, now);
    raft_message heartbeat;
    heartbeat.kind_ = raft_message_kind::append_request;
    heartbeat.from_ = "b";
    heartbeat.to_ = "a";
    heartbeat.term_ = 1;
    replica.receive(heartbeat, now);
    raft_message question;
    question.kind_ = raft_message_kind::pre_vote_request;
    question.from_ = "c";
    question.to_ = "a";
    question.term_ = 2;
    static_cast<void>(replica.take_output());
    replica.receive(question, now);
    BOOST_TEST(!replica.take_output().messages_.at(0).accepted_);
    replica.receive(question, now + second);
    BOOST_TEST(replica.take_output().messages_.at(0).accepted_);
    BOOST_TEST(replica.term() == 1);
}

// Guards against a group without a leader for a whole election timeout after its votes were split.
BOOST_AUTO_TEST_CASE(a_candidate_that_cannot_win_stands_again_within_a_heartbeat)
{
    const raft_options defaults;
    auto now = instant() + second;
    auto replica = make_replica({{4, "", true}, {}, {}}, instant());
    replica.tick(now);
    const auto asked = replica.take_output().messages_.at(0);
    replica.receive(reply(raft_message_kind::pre_vote_reply, asked, 0), now);
    for (const auto& request : replica.take_output().messages_) {
        BOOST_REQUIRE((replica.role() == raft_role::candidate));
        auto refusal = reply(raft_message_kind::vote_reply, request, 0);
        refusal.accepted_ = false;
        replica.receive(refusal, now);
    }
    replica.tick(now + defaults.heartbeat_);
    BOOST_TEST((replica.role() == raft_role::pre_candidate));
}

BOOST_AUTO_TEST_CASE(each_entry_is_sent_once_and_bytes_in_flight_are_bounded)
{
    constexpr std::size_t command_bytes = 100'000;
    constexpr std::size_t bound = 2'000'000;
    instant now = instant() + second;
    auto replica = make_replica({{0, "", true}, {}, {}}, instant());
    const auto output = elect(replica, now);
    replica.receive(reply(raft_message_kind::append_reply, output.messages_.at(0), 1), now);
    static_cast<void>(replica.take_output());
    std::size_t sent = 0;
    for (int count = 0; count < 100; ++count) {
        BOOST_REQUIRE(replica.propose(std::string(command_bytes, 'x'), now).has_value());
        sent += bytes_to(replica.take_output(), "b");
        BOOST_TEST(sent <= static_cast<std::size_t>(count + 1) * command_bytes);
    }
    BOOST_TEST(sent > command_bytes);
    BOOST_TEST(sent < bound);
}

BOOST_AUTO_TEST_CASE(a_replica_behind_the_compacted_log_receives_the_snapshot_in_chunks)
{
    instant now = instant() + second;
    const log_snapshot snapshot{500, 3, std::string(700'000, 's')};
    auto leader = make_replica({{3, "", true}, snapshot, {}}, instant());
    auto output = elect(leader, now);
    raft_options options{.self_ = "b", .voters_ = {"a", "b", "c"}};
    options.random_ = seeded_random(2);
    auto follower = raft::create(std::move(options), {{0, "", true}, {}, {}}, now).value();
    std::size_t chunks = 0;
    std::shared_ptr<const log_snapshot> installed;
    while (!output.messages_.empty()) {
        for (const auto& message : output.messages_) {
            const auto copy = decode_raft_message(encode_message(message)).value();
            if (copy.to_ == "b") {
                chunks += copy.kind_ == raft_message_kind::snapshot_request ? 1 : 0;
                follower.receive(copy, now);
            }
        }
        const auto answers = follower.take_output();
        installed = answers.install_ ? answers.install_ : installed;
        for (const auto& answer : answers.messages_) {
            leader.receive(answer, now);
        }
        output = leader.take_output();
    }
    BOOST_TEST(chunks == 3);
    BOOST_REQUIRE(installed != nullptr);
    BOOST_TEST((*installed == snapshot));
    BOOST_TEST(follower.last_index() == 501);
    BOOST_TEST(leader.commit_index() == 501);
}
