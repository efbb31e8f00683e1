#include <boost/test/unit_test.hpp>

#include "control/control_replica.h"

using namespace sycamorewinch;

namespace {

/** A group of one replica in memory, which records the sets of roll-outs that it reports. */
struct replica_fixture {
    std::vector<rollout_set> reported_;
    bool disk_is_full_ = false;
    instant now_;
    std::optional<control_replica> replica_;

    void start(const log_snapshot& snapshot = {})
    {
        control_hooks hooks;
        hooks.save_vote_ = [](const auto&) {
            return result<void>();
        };
        hooks.truncate_after_ = [](auto) {
            return result<void>();
        };
        hooks.append_ = [this](const auto&) {
            return disk_is_full_ ? failure(error_kind::io, "no space left") : result<void>();
        };
        hooks.send_ = [](const auto&) {
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_rollouts_ = [this](const rollout_records& records) {
            reported_.push_back(records.published());
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        raft_options options{.self_ = "c0", .voters_ = {"c0"}};
        options.random_ = seeded_random(1);
        durable_state state;
        state.snapshot_ = snapshot;
        replica_.emplace(control_replica::create(options, state, hooks, now_).value());
    }

    void lead()
    {
        while (replica_->raft_state().role() != raft_role::leader) {
            now_ += std::chrono::milliseconds(10);
            replica_->tick(now_);
        }
    }

    auto apply(const rollout_command& command) -> result<rollout_outcome>
    {
        result<rollout_outcome> outcome = failure(error_kind::unavailable, "not answered");
        replica_->apply_rollout(
            command, [&outcome](const auto& given) { outcome = given; }, now_);
        return outcome;
    }
};

auto order(const std::string& version) -> rollout_command
{
    rollout_command command;
    command.service_ = "s";
    command.version_ = version;
    command.share_ = 50;
    command.duration_ms_ = 16'000;
    return command;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_committed_order_is_acknowledged_and_reported_once, replica_fixture)
{
    start();
    BOOST_TEST(!apply(order("2")).has_value()); // not the leader yet
    lead();
    BOOST_TEST((apply(order("2")).value() == rollout_outcome::applied));
    BOOST_TEST((apply(order("2")).value() == rollout_outcome::repeated));
    BOOST_TEST((apply(order("3")).value() == rollout_outcome::other_running));
    BOOST_REQUIRE(reported_.size() == 1U);
    BOOST_TEST(reported_.front().find("s")->share_ == 50U);
}

// Guards against the acknowledgement of an order that is on no disk.
BOOST_FIXTURE_TEST_CASE(an_order_that_cannot_be_stored_is_not_acknowledged, replica_fixture)
{
    start();
    lead();
    disk_is_full_ = true;
    BOOST_TEST(!apply(order("2")).has_value());
    BOOST_TEST(reported_.empty());
}

BOOST_FIXTURE_TEST_CASE(a_snapshot_restores_rollouts_and_reports_them, replica_fixture)
{
    control_state state;
    static_cast<void>(state.rollouts_.apply(order("2")));
    log_snapshot snapshot;
    snapshot.index_ = 7;
    snapshot.term_ = 1;
    snapshot.data_ = encode_state(state);
    start(snapshot);
    BOOST_REQUIRE(reported_.size() == 1U);
    BOOST_TEST((reported_.front() == state.rollouts_.published()));
    BOOST_TEST((replica_->rollouts().all() == state.rollouts_.all()));
}

// A group in which nobody ordered a roll-out keeps the earlier format, which earlier programs read.
BOOST_AUTO_TEST_CASE(a_state_without_rollouts_keeps_the_earlier_format)
{
    control_state state;
    const auto earlier = encode_state(state);
    BOOST_TEST(decode_state(earlier, {}).has_value());
    BOOST_TEST(static_cast<unsigned char>(earlier[0]) == 0x83U); // a CBOR array of three items
    BOOST_TEST(static_cast<unsigned char>(earlier[1]) == 2U);
    static_cast<void>(state.rollouts_.apply(order("2")));
    const auto bytes = encode_state(state);
    BOOST_TEST(static_cast<unsigned char>(bytes[1]) == 3U);
    BOOST_TEST((decode_state(bytes, {}).value().rollouts_.all() == state.rollouts_.all()));
    BOOST_TEST(!decode_state(bytes.substr(0, bytes.size() - 1), {}).has_value());
    auto mixed = bytes;
    mixed[1] = 2;
    BOOST_TEST(!decode_state(mixed, {}).has_value());
}
