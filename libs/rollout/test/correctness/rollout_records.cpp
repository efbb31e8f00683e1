#include <boost/test/unit_test.hpp>

#include "rollout/rollout_planner.h"

using namespace sycamorewinch;

namespace {

auto order(const std::string& version, bool repeats_rolled_back = false) -> rollout_command
{
    rollout_command command;
    command.service_ = "s";
    command.version_ = version;
    command.share_ = initial_rollout_share;
    command.duration_ms_ = 16'000;
    command.repeats_rolled_back_ = repeats_rolled_back;
    return command;
}

auto command(const rollout_records& records, rollout_command_kind kind, std::uint32_t share,
             rollout_state state = rollout_state::running) -> rollout_command
{
    const auto& record = *records.find("s");
    rollout_command next;
    next.kind_ = kind;
    next.service_ = "s";
    next.id_ = record.rollout_.id_;
    next.step_ = record.step_;
    next.share_ = share;
    next.state_ = state;
    next.elapsed_ms_ = record.elapsed_ms_ + 100;
    return next;
}

void end(rollout_records& records, rollout_state state)
{
    BOOST_TEST((records.apply(command(records, rollout_command_kind::end, 0, state)) ==
                rollout_outcome::applied));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_repeated_order_creates_one_rollout)
{
    rollout_records records;
    BOOST_TEST((records.apply(order("2")) == rollout_outcome::applied));
    auto resent = order("2");
    resent.duration_ms_ = 30'000;
    BOOST_TEST((records.apply(resent) == rollout_outcome::repeated));
    BOOST_TEST(records.find("s")->rollout_.id_ == 1U);
    BOOST_TEST(records.find("s")->duration_ms_ == 16'000U);
    end(records, rollout_state::completed);
    BOOST_TEST((records.apply(order("2")) == rollout_outcome::repeated));
    BOOST_TEST((records.find("s")->rollout_.state_ == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(another_order_is_refused_only_while_a_rollout_runs)
{
    rollout_records records;
    BOOST_TEST((records.apply(order("2")) == rollout_outcome::applied));
    BOOST_TEST((records.apply(order("3")) == rollout_outcome::other_running));
    end(records, rollout_state::rolled_back);
    BOOST_TEST((records.apply(order("3")) == rollout_outcome::applied));
    BOOST_TEST(records.find("s")->rollout_.id_ == 2U);
}

BOOST_AUTO_TEST_CASE(a_rolled_back_version_stays_so_until_it_is_ordered_again)
{
    rollout_records records;
    BOOST_TEST((records.apply(order("2")) == rollout_outcome::applied));
    end(records, rollout_state::rolled_back);
    BOOST_TEST((records.apply(order("2")) == rollout_outcome::repeated));
    BOOST_TEST((records.find("s")->rollout_.state_ == rollout_state::rolled_back));
    BOOST_TEST((records.apply(order("2", true)) == rollout_outcome::applied));
    BOOST_TEST((records.find("s")->rollout_.state_ == rollout_state::running));
}

// Guards against the proposal of a former leader that is committed late.
BOOST_AUTO_TEST_CASE(commands_of_a_superseded_step_change_nothing)
{
    rollout_records records;
    static_cast<void>(records.apply(order("2")));
    const auto late = command(records, rollout_command_kind::step, 250);
    const auto late_end = command(records, rollout_command_kind::end, 0, rollout_state::completed);
    BOOST_TEST((records.apply(command(records, rollout_command_kind::step, 50)) ==
                rollout_outcome::applied));
    BOOST_TEST((records.apply(late) == rollout_outcome::superseded));
    BOOST_TEST((records.apply(late_end) == rollout_outcome::superseded));
    BOOST_TEST(records.find("s")->rollout_.share_ == 50U);
    end(records, rollout_state::rolled_back);
    BOOST_TEST((records.apply(command(records, rollout_command_kind::step, 250)) ==
                rollout_outcome::superseded));
}

// Nodes receive a set for each sequence, so that storing the elapsed time must not change it.
BOOST_AUTO_TEST_CASE(the_sequence_changes_only_with_what_nodes_route_by)
{
    rollout_records records;
    BOOST_TEST(records.sequence() == 0U);
    static_cast<void>(records.apply(order("2")));
    BOOST_TEST(records.sequence() == 1U);
    static_cast<void>(records.apply(command(records, rollout_command_kind::step, 50)));
    BOOST_TEST(records.sequence() == 1U);
    BOOST_TEST(records.find("s")->elapsed_ms_ == 100U);
    static_cast<void>(records.apply(command(records, rollout_command_kind::step, 250)));
    BOOST_TEST(records.sequence() == 2U);
    static_cast<void>(records.apply(order("2")));
    BOOST_TEST(records.sequence() == 2U);
    BOOST_TEST(records.published().find("s")->share_ == 250U);
}

BOOST_AUTO_TEST_CASE(records_and_commands_survive_encoding)
{
    rollout_records records;
    static_cast<void>(records.apply(order("2")));
    const auto step = command(records, rollout_command_kind::step, 250);
    BOOST_TEST((decode_rollout_command(encode_command(step)).value() == step));
    static_cast<void>(records.apply(step));
    const auto read = rollout_records::decode(records.encode());
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->all() == records.all()));
    BOOST_TEST(read->sequence() == records.sequence());
    auto next = *read;
    end(next, rollout_state::completed);
    BOOST_TEST((next.apply(order("3")) == rollout_outcome::applied));
    BOOST_TEST(next.find("s")->rollout_.id_ == 2U);
}

BOOST_AUTO_TEST_CASE(malformed_records_and_commands_are_errors)
{
    BOOST_TEST(!rollout_records::decode("x").has_value());
    BOOST_TEST(!decode_rollout_command("").has_value());
    auto bytes = encode_command(order("2"));
    bytes.pop_back();
    BOOST_TEST(!decode_rollout_command(bytes).has_value());
}

// An order that is resent because its acknowledgement was lost must not start a second roll-out; a
// new order for a version that was rolled back must.
BOOST_AUTO_TEST_CASE(an_order_counts_as_new_10_s_after_a_rollback)
{
    const auto start = instant{} + std::chrono::hours(1);
    rollout_records records;
    rollout_planner planner;
    static_cast<void>(records.apply(planner.make_order("s", "2", 16'000, start)));
    planner.observe(records, start);
    end(records, rollout_state::rolled_back);
    planner.observe(records, start + std::chrono::seconds(2));
    const auto resent = planner.make_order("s", "2", 16'000, start + std::chrono::seconds(6));
    BOOST_TEST((records.check_start(resent) == rollout_outcome::repeated));
    const auto anew = planner.make_order("s", "2", 16'000, start + std::chrono::seconds(12));
    BOOST_TEST((records.check_start(anew) == rollout_outcome::applied));
}
