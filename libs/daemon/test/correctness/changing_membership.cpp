// Machines of the control group are added, replaced and removed while others fail.
#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "daemon/test/support/changing_group.h"

using namespace sycamorewinch;
using namespace sycamorewinch::test;

namespace {

constexpr duration second = std::chrono::seconds(1);

auto number_from(const char* variable, std::uint64_t otherwise) -> std::uint64_t
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/** A group of five machines with three successors that have had their time. */
struct group_with_successors : changing_group {
    group_with_successors() : changing_group({})
    {
        for (int count = 0; count < 3; ++count) {
            add_machine();
        }
        run(5 * second);
    }
};

/** How a machine is removed. */
enum class removal : std::uint8_t { with_notice, without_notice };

/** Removes the leader if \p with_leader, and \p count machines in all, \p pause apart. */
void remove_machines(changing_group& group, removal how, unsigned count, bool with_leader,
                     duration pause)
{
    const auto leader = group.leader().value();
    for (machine_id id = 0; count > 0; ++id) {
        const auto next = with_leader && id == 0 ? leader : id;
        if (!group.is_running(next) || (next == leader) != (with_leader && id == 0)) {
            continue;
        }
        if (how == removal::with_notice) {
            group.terminate(next);
        }
        else {
            group.remove_silently(next);
        }
        --count;
        group.run(pause);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(changing_membership)

// Guards against a group without a leader after three planned replacements that overlap: the
// machines that leave were a majority of the voters before the first had been replaced.
BOOST_AUTO_TEST_CASE(machines_that_leave_a_second_apart_are_replaced)
{
    for (const auto how : {removal::with_notice, removal::without_notice}) {
        for (const bool with_leader : {false, true}) {
            BOOST_TEST_CONTEXT("with notice: " << (how == removal::with_notice)
                                               << ", with the leader: " << with_leader)
            {
                group_with_successors group;
                remove_machines(group, how, 3, with_leader, second);
                group.check_recovered();
                BOOST_TEST(group.violation() == "");
                BOOST_TEST(group.voter_count() == 5U);
            }
        }
    }
}

// The same at one moment, which a group can only survive with notice if others fail as well.
BOOST_AUTO_TEST_CASE(machines_that_leave_at_once_are_replaced)
{
    for (const auto how : {removal::with_notice, removal::without_notice}) {
        for (const bool with_leader : {false, true}) {
            BOOST_TEST_CONTEXT("with notice: " << (how == removal::with_notice)
                                               << ", with the leader: " << with_leader)
            {
                group_with_successors group;
                remove_machines(group, how, 3, with_leader, std::chrono::milliseconds(0));
                group.check_recovered();
                BOOST_TEST(group.violation() == "");
                BOOST_TEST(group.voter_count() == 5U);
            }
        }
    }
}

// Guards against a planned replacement that takes so long that it counts as a third loss.
BOOST_AUTO_TEST_CASE(two_disks_are_lost_shortly_after_a_replacement)
{
    for (const auto how : {removal::with_notice, removal::without_notice}) {
        BOOST_TEST_CONTEXT("with notice: " << (how == removal::with_notice))
        {
            changing_group group({});
            group.add_machine();
            group.run(5 * second);
            remove_machines(group, how, 1, false, std::chrono::milliseconds(1'500));
            for (machine_id id = 0, lost = 0; lost < 2; ++id) {
                if (group.is_running(id)) {
                    group.lose_disk(id, second);
                    ++lost;
                }
            }
            group.check_recovered();
            BOOST_TEST(group.violation() == "");
        }
    }
}

// Guards against a new leader that waits once more before it removes the old one, whose silence
// made the election: until then two further losses leave no quorum, for good.
BOOST_AUTO_TEST_CASE(two_disks_are_lost_shortly_after_the_leader_is_removed)
{
    for (std::uint64_t seed = 1; seed <= number_from("SYCAMOREWINCH_SEEDS", 40); ++seed) {
        changing_group group({.seed_ = seed});
        group.add_machine();
        group.run(5 * second);
        const auto leader = group.leader().value();
        group.remove_silently(leader);
        group.run(std::chrono::milliseconds(1'500));
        // Each pair of the founders that are left, by turns.
        const auto first = seed % 4;
        const auto other = (first + 1 + seed / 4 % 3) % 4;
        for (const auto position : {first, other}) {
            group.lose_disk(position < leader ? position : position + 1,
                            std::chrono::milliseconds(100));
        }
        group.check_recovered();
        BOOST_TEST(group.violation() == "");
    }
}

// Guards against an event loop that waits for the disk: heartbeats and votes stopped for as long as
// a sync took, no group could form with syncs of 400 ms, and few edits were accepted with 300 ms.
BOOST_AUTO_TEST_CASE(a_group_with_slow_disks_accepts_edits_and_replaces_machines)
{
    for (const auto sync_time : {100, 300, 600}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            BOOST_TEST_CONTEXT("syncs of " << sync_time << " ms, seed " << seed)
            {
                changing_group group(
                    {.seed_ = seed, .sync_time_ = std::chrono::milliseconds(sync_time)});
                BOOST_TEST(group.accepted_count() > 0U);
                for (int count = 0; count < 3; ++count) {
                    group.add_machine();
                }
                group.run(8 * second);
                remove_machines(group, removal::with_notice, 3, seed % 2 == 0, second);
                group.check_recovered();
                BOOST_TEST(group.violation() == "");
            }
        }
    }
}

// A surplus voter makes their number even. The leader's half removes a silent voter before its
// lease ends and goes on; the other half must not.
BOOST_AUTO_TEST_CASE(a_leader_with_half_of_the_voters_goes_on)
{
    changing_group group({});
    group.add_machine();
    group.run(5 * second);
    BOOST_REQUIRE(group.voter_count() == 6U);
    const auto leader = group.leader().value();
    for (machine_id id = 0, cut = 0; cut < 3; ++id) {
        if (id != leader) {
            group.cut_off(id, 20 * second);
            ++cut;
        }
    }
    const auto accepted = group.accepted_count();
    group.run(10 * second);
    BOOST_TEST((group.leader() == leader));
    BOOST_TEST(group.accepted_count() > accepted + 50);
    group.run(10 * second);
    group.check_recovered();
    BOOST_TEST(group.violation() == "");
}

// For long runs: SYCAMOREWINCH_SEEDS=500 SYCAMOREWINCH_FROM_SEED=1000 daemon_test
// --run_test=changing_membership/random_changes
BOOST_AUTO_TEST_CASE(random_changes)
{
    const auto first = number_from("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = number_from("SYCAMOREWINCH_SEEDS", 12);
    std::map<std::string, unsigned> changes;
    std::size_t accepted = 0;
    std::size_t failed = 0;
    duration longest{};
    for (auto seed = first; seed < first + seeds; ++seed) {
        const bool is_small = seed % 4 == 0;
        changing_group group({seed, is_small ? 1U : 2U, is_small ? 3U : 5U});
        group.run_random_changes(120 * second);
        BOOST_TEST(group.violation() == "");
        failed += group.violation().empty() ? 0 : 1;
        accepted += group.accepted_count();
        longest = std::max(longest, group.longest_time_without_leader());
        for (const auto& [kind, count] : group.changes()) {
            changes[kind] += count;
        }
    }
    for (const auto& [kind, count] : changes) {
        BOOST_TEST_MESSAGE(kind << ": " << count);
    }
    BOOST_TEST_MESSAGE(accepted << " edits accepted, at most " << to_milliseconds(longest)
                                << " ms without a leader, " << failed << " of " << seeds
                                << " seeds failed");
}

BOOST_AUTO_TEST_SUITE_END()
