#include <boost/test/unit_test.hpp>

#include "control/control_replica.h"
#include "control/test/error/fake_disk.h"
#include "storage/replica_store.h"

using namespace sycamorewinch;
using namespace sycamorewinch::test;

namespace {

constexpr auto second = std::chrono::seconds(1);

/** A group of one replica on a fake disk, which makes a snapshot every few edits. */
struct lone_replica {
    fake_disk& disk_;
    instant now_{};
    std::optional<replica_store> store_;
    std::unique_ptr<control_replica> replica_;
    bool has_disk_space_ = true;

    explicit lone_replica(fake_disk& disk) : disk_(disk) { start(); }

    void start()
    {
        auto store = replica_store::open(disk_.open());
        if (!store) {
            return;
        }
        store_.emplace(std::move(*store));
        control_hooks hooks;
        hooks.save_vote_ = [this](const auto& vote) {
            return store_->save_vote(vote);
        };
        hooks.truncate_after_ = [this](auto index) {
            return store_->truncate_after(index);
        };
        hooks.append_ = [this](const auto& entries) {
            return store_->append(entries);
        };
        hooks.save_snapshot_ = [this](const auto& snapshot, const auto& entries) {
            return store_->save_snapshot(snapshot, entries);
        };
        hooks.reload_ = [this]() -> result<durable_state> {
            return replica_store::open(disk_.open()).map([this](auto store) {
                store_.emplace(std::move(store));
                return store_->take_recovered();
            });
        };
        hooks.has_disk_space_ = [this] {
            return has_disk_space_;
        };
        hooks.send_ = [](const auto&) {
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        hooks.snapshot_after_bytes_ = 300;
        raft_options options{.self_ = "a", .voters_ = {"a"}};
        options.random_ = seeded_random(1);
        auto replica = control_replica::create(options, store_->take_recovered(), hooks, now_);
        replica_ = std::make_unique<control_replica>(std::move(replica.value()));
        pass(second);
    }

    void pass(duration span)
    {
        now_ += span;
        replica_->tick(now_);
    }

    /** Accepts one edit and returns whether it was acknowledged as accepted. */
    auto accept(int number) -> bool
    {
        bool accepted = false;
        row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
        one.timeout_ = std::chrono::milliseconds(number);
        replica_->accept(
            {"edit-" + std::to_string(number),
             "ann",
             replica_->state().current()->version_,
             {{one}, {}}},
            [&](const auto& outcome) {
                accepted = outcome && outcome->status_ == accept_status::accepted;
            },
            now_);
        return accepted;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_crash_at_any_write_loses_nothing_acknowledged)
{
    constexpr std::uint64_t last_write = 60;
    for (std::uint64_t write = 1; write <= last_write; ++write) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            fake_disk disk(seeded_random(seed));
            disk.crash_at_write_ = write;
            std::vector<int> acknowledged;
            {
                lone_replica replica(disk);
                for (int number = 1; number <= 40 && replica.replica_; ++number) {
                    if (replica.accept(number)) {
                        acknowledged.push_back(number);
                    }
                    if (disk.take_crash()) {
                        break;
                    }
                }
            }
            disk.crash_at_write_ = 0;
            disk.lose_power();
            const lone_replica again(disk);
            BOOST_REQUIRE(again.replica_ != nullptr);
            for (const auto number : acknowledged) {
                const auto outcome =
                    again.replica_->state().outcome_of("edit-" + std::to_string(number));
                BOOST_REQUIRE_MESSAGE(outcome.has_value(), "write " << write << " seed " << seed
                                                                    << " lost edit " << number);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_full_disk_refuses_new_versions_keeps_serving_and_recovers)
{
    fake_disk disk(seeded_random(1));
    lone_replica replica(disk);
    BOOST_TEST(replica.accept(1));
    disk.full_ = true;
    BOOST_TEST(!replica.accept(2));
    replica.pass(5 * second);
    BOOST_TEST(replica.replica_->state().current()->version_.number_ == 1);
    disk.full_ = false;
    replica.pass(5 * second);
    replica.pass(5 * second);
    BOOST_TEST(replica.accept(3));
}

BOOST_AUTO_TEST_CASE(a_leader_without_room_refuses_and_still_proves)
{
    fake_disk disk(seeded_random(1));
    lone_replica replica(disk);
    BOOST_TEST(replica.accept(1));
    replica.has_disk_space_ = false;
    BOOST_TEST(!replica.accept(2));
    std::uint64_t proved = 0;
    replica.replica_->prove_current([&](const auto& version) { proved = version.value_or(0); },
                                    replica.now_);
    BOOST_TEST(proved == 1);
}

BOOST_AUTO_TEST_CASE(an_edit_sent_again_after_compaction_and_restart_gets_its_first_outcome)
{
    fake_disk disk(seeded_random(1));
    {
        lone_replica replica(disk);
        for (int number = 1; number <= 40; ++number) {
            BOOST_TEST(replica.accept(number));
        }
        BOOST_TEST(replica.replica_->snapshots_made() > 0);
    }
    const lone_replica again(disk);
    BOOST_TEST(again.replica_->state().outcome_of("edit-1")->version_.number_ == 1);
    BOOST_TEST(again.replica_->state().history().size() == 40);
}

// Found as seed 366: the snapshot's sync had failed, the log behind it was durable.
BOOST_AUTO_TEST_CASE(opening_makes_the_snapshot_durable_before_the_log)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        fake_disk disk(seeded_random(seed));
        auto store = replica_store::open(disk.open()).value();
        BOOST_TEST(store.append({{1, 1, entry_kind::no_op, ""}, {2, 1, entry_kind::no_op, ""}})
                       .has_value());
        disk.faults_.failed_sync_ = 65536;
        BOOST_TEST(
            !store.save_snapshot({1, 1, "state"}, {{2, 1, entry_kind::no_op, ""}}).has_value());
        disk.faults_ = {};
        BOOST_TEST(replica_store::open(disk.open()).has_value());
        disk.lose_power();
        const auto state = replica_store::open(disk.open()).value().take_recovered();
        BOOST_TEST(state.snapshot_.index_ == 1);
        BOOST_REQUIRE(state.entries_.size() == 1);
        BOOST_TEST(state.entries_.front().index_ == 2);
    }
}
