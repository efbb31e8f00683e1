// One replica of three whose writes end when the test says so.
#include <boost/test/unit_test.hpp>

#include <deque>

#include "control/control_replica.h"

using namespace sycamorewinch;

namespace {

constexpr auto second = std::chrono::seconds(1);

struct replica_with_slow_disk {
    struct pending_write {
        std::function<result<void>()> write_;
        std::function<void(const result<void>& outcome, instant now)> done_;
    };

    replica_with_slow_disk()
    {
        control_hooks hooks;
        hooks.save_vote_ = [](const auto&) -> result<void> {
            return {};
        };
        hooks.truncate_after_ = [](auto) -> result<void> {
            return {};
        };
        hooks.append_ = [this](const auto& entries) -> result<void> {
            stored_entries_ += entries.size();
            return {};
        };
        hooks.save_snapshot_ = [](const auto&, const auto&) -> result<void> {
            return {};
        };
        hooks.run_in_background_ = [this](auto write, auto done) {
            writes_.push_back({std::move(write), std::move(done)});
        };
        hooks.send_ = [this](const auto& message) {
            sent_.push_back(message);
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        raft_options options{.self_ = "a", .voters_ = {"a", "b", "c"}};
        options.random_ = seeded_random(1);
        const durable_state empty{{0, "", true}, {}, {}};
        replica_.emplace(
            control_replica::create(std::move(options), empty, std::move(hooks), now_).value());
        now_ += second;
    }

    void receive(raft_message message)
    {
        message.to_ = "a";
        replica_->receive(message, now_);
    }

    /** Ends the write under way; returns false if there is none. */
    auto finish_write(const result<void>& outcome = {}) -> bool
    {
        if (writes_.empty()) {
            return false;
        }
        const auto write = std::move(writes_.front());
        writes_.pop_front();
        write.done_(outcome ? write.write_() : outcome, now_);
        return true;
    }

    auto take_sent(raft_message_kind kind) -> std::vector<raft_message>
    {
        auto sent = std::exchange(sent_, {});
        std::erase_if(sent, [kind](const auto& message) { return message.kind_ != kind; });
        return sent;
    }

    void append_from_leader(std::uint64_t index)
    {
        raft_message append{.kind_ = raft_message_kind::append_request, .from_ = "b", .term_ = 1};
        append.log_index_ = index - 1;
        append.log_term_ = index > 1 ? 1 : 0;
        append.round_ = index;
        append.entries_ = {{index, 1, entry_kind::no_op, {}}};
        receive(append);
    }

    /** Makes this replica the leader of term 1 with the vote of "b". */
    void elect()
    {
        replica_->tick(now_);
        raft_message pre_vote{.kind_ = raft_message_kind::pre_vote_reply, .from_ = "b", .term_ = 1};
        pre_vote.accepted_ = true;
        receive(pre_vote);
        BOOST_REQUIRE(finish_write());
        raft_message vote{.kind_ = raft_message_kind::vote_reply, .from_ = "b", .term_ = 1};
        vote.accepted_ = true;
        receive(vote);
        BOOST_REQUIRE((replica_->raft_state().role() == raft_role::leader));
    }

    void acknowledge(const std::string& from, std::uint64_t index)
    {
        raft_message reply{.kind_ = raft_message_kind::append_reply, .from_ = from, .term_ = 1};
        reply.accepted_ = true;
        reply.log_index_ = index;
        reply.round_ = 1;
        receive(reply);
    }

    instant now_{};
    std::optional<control_replica> replica_;
    std::deque<pending_write> writes_;
    std::vector<raft_message> sent_;
    std::size_t stored_entries_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(background_writes, replica_with_slow_disk)

BOOST_AUTO_TEST_CASE(a_vote_is_sent_once_it_is_durable)
{
    raft_message request{.kind_ = raft_message_kind::vote_request, .from_ = "b", .term_ = 1};
    receive(request);
    BOOST_TEST(take_sent(raft_message_kind::vote_reply).empty());
    while (finish_write()) {
    }
    const auto replies = take_sent(raft_message_kind::vote_reply);
    BOOST_REQUIRE(replies.size() == 1U);
    BOOST_TEST(replies.front().accepted_);
}

// Guards against a follower that its leader takes for lost because its disk is slow.
BOOST_AUTO_TEST_CASE(a_follower_answers_at_once_with_what_is_durable)
{
    append_from_leader(1);
    append_from_leader(2);
    auto replies = take_sent(raft_message_kind::append_reply);
    BOOST_REQUIRE(replies.size() == 2U);
    BOOST_TEST(replies.back().accepted_);
    BOOST_TEST(replies.back().round_ == 2U);
    BOOST_TEST(replies.back().log_index_ == 0U);
    BOOST_TEST(stored_entries_ == 0U);
    while (finish_write()) {
    }
    replies = take_sent(raft_message_kind::append_reply);
    BOOST_REQUIRE(!replies.empty());
    BOOST_TEST(replies.back().log_index_ == 2U);
    BOOST_TEST(stored_entries_ == 2U);
}

BOOST_AUTO_TEST_CASE(a_leader_sends_entries_before_its_own_copy_is_durable)
{
    elect();
    const auto appends = take_sent(raft_message_kind::append_request);
    BOOST_REQUIRE(appends.size() == 2U);
    BOOST_TEST(appends.front().entries_.size() == 1U);
    BOOST_TEST(stored_entries_ == 0U);
    // Its own copy does not count yet, those of both others do.
    acknowledge("b", 1);
    BOOST_TEST(replica_->raft_state().commit_index() == 0U);
    acknowledge("c", 1);
    BOOST_TEST(replica_->raft_state().commit_index() == 1U);
}

BOOST_AUTO_TEST_CASE(a_leader_counts_its_own_copy_once_it_is_durable)
{
    elect();
    acknowledge("b", 1);
    BOOST_TEST(replica_->raft_state().commit_index() == 0U);
    BOOST_REQUIRE(finish_write());
    BOOST_TEST(replica_->raft_state().commit_index() == 1U);
}

BOOST_AUTO_TEST_CASE(what_waits_for_a_write_that_fails_is_not_sent)
{
    append_from_leader(1);
    static_cast<void>(take_sent(raft_message_kind::append_reply));
    BOOST_REQUIRE(finish_write(failure(error_kind::io, "injected disk fault")));
    BOOST_TEST(!finish_write());
    BOOST_TEST(sent_.empty());
    BOOST_TEST(replica_->disk_failed());
}

// Votes of an election with slow disks may arrive after its timeout.
BOOST_AUTO_TEST_CASE(votes_that_arrive_after_the_timeout_still_elect)
{
    replica_->tick(now_);
    raft_message answer{.kind_ = raft_message_kind::pre_vote_reply, .from_ = "b", .term_ = 1};
    answer.accepted_ = true;
    receive(answer);
    BOOST_REQUIRE(finish_write());
    now_ += second;
    replica_->tick(now_);
    BOOST_REQUIRE((replica_->raft_state().role() == raft_role::pre_candidate));
    answer.kind_ = raft_message_kind::vote_reply;
    receive(answer);
    BOOST_TEST((replica_->raft_state().role() == raft_role::leader));
    BOOST_TEST(replica_->raft_state().term() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
