#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "control/test/error/simulated_group.h"

using namespace sycamorewinch;
using namespace sycamorewinch::test;

namespace {

constexpr std::uint64_t steps_per_seed = 3000;

auto number_from(const char* variable, std::uint64_t otherwise) -> std::uint64_t
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/** Returns whether a run of the broken variant violates \p property within 60 seeds. */
auto detects_violation(broken_variant variant, group_property property) -> bool
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulated_group group(seed, variant);
        group.run(steps_per_seed);
        if (group.is_violated(property)) {
            return true;
        }
    }
    return false;
}

} // namespace

// For long runs: SYCAMOREWINCH_SEEDS=100000 SYCAMOREWINCH_FROM_SEED=1000 control_test
// --run_test=randomised_runs
BOOST_AUTO_TEST_CASE(randomised_runs)
{
    const auto first = number_from("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = number_from("SYCAMOREWINCH_SEEDS", 200);
    std::size_t accepted = 0;
    std::uint64_t disks_lost = 0;
    std::uint64_t snapshots_taken = 0;
    std::uint64_t snapshots_installed = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        simulated_group group(seed, broken_variant::none);
        group.run(steps_per_seed);
        BOOST_REQUIRE_MESSAGE(group.violations().empty(), group.report());
        accepted += group.accepted_count();
        disks_lost += group.disks_lost();
        snapshots_taken += group.snapshots_taken();
        snapshots_installed += group.snapshots_installed();
    }
    BOOST_TEST_MESSAGE(accepted << " versions accepted, " << snapshots_taken << " snapshots taken, "
                                << snapshots_installed << " installed, " << disks_lost
                                << " disks lost over " << seeds << " seeds");
    BOOST_TEST(accepted > 0);
    const bool is_default_run = std::getenv("SYCAMOREWINCH_SEEDS") == nullptr;
    BOOST_TEST(
        (!is_default_run || (snapshots_taken > 0 && snapshots_installed > 0 && disks_lost > 0)));
}

BOOST_AUTO_TEST_CASE(votes_that_are_not_stored_allow_two_leaders_in_a_term)
{
    BOOST_TEST(detects_violation(broken_variant::votes_are_not_stored,
                                 group_property::one_leader_per_term));
}

BOOST_AUTO_TEST_CASE(unsynced_writes_change_committed_entries)
{
    BOOST_TEST(detects_violation(broken_variant::writes_are_not_synced,
                                 group_property::committed_entries_never_change));
}

BOOST_AUTO_TEST_CASE(writes_that_are_reported_early_change_committed_entries)
{
    BOOST_TEST(detects_violation(broken_variant::writes_are_reported_early,
                                 group_property::committed_entries_never_change));
}

BOOST_AUTO_TEST_CASE(wiped_disks_lose_accepted_edits)
{
    BOOST_TEST(detects_violation(broken_variant::disks_are_wiped,
                                 group_property::accepted_edits_are_kept));
}

BOOST_AUTO_TEST_CASE(wiped_disks_decrease_the_version)
{
    BOOST_TEST(detects_violation(broken_variant::disks_are_wiped,
                                 group_property::version_never_decreases));
}

BOOST_AUTO_TEST_CASE(altered_payloads_make_two_tables_of_one_version)
{
    BOOST_TEST(detects_violation(broken_variant::payloads_are_altered,
                                 group_property::one_table_per_version));
}

BOOST_AUTO_TEST_CASE(outcomes_that_are_not_retained_change_for_a_resent_edit)
{
    BOOST_TEST(detects_violation(broken_variant::outcomes_are_not_retained,
                                 group_property::first_outcome_is_final));
}

BOOST_AUTO_TEST_CASE(a_proof_without_a_quorum_is_stale)
{
    BOOST_TEST(
        detects_violation(broken_variant::proof_without_quorum, group_property::proof_is_current));
}

BOOST_AUTO_TEST_CASE(a_group_without_elections_does_not_recover)
{
    BOOST_TEST(detects_violation(broken_variant::vote_requests_are_dropped,
                                 group_property::group_recovers));
}
