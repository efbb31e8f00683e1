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

/** Returns whether the broken variant breaks \p rule within some seeds. */
auto bites(broken_variant variant, group_rule rule) -> bool
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulated_group group(seed, variant);
        group.run(steps_per_seed);
        if (group.broke(rule)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Long runs: SYCAMOREWINCH_SEEDS=100000 SYCAMOREWINCH_FROM_SEED=1000 control_test
// --run_test=randomised_runs
BOOST_AUTO_TEST_CASE(randomised_runs)
{
    const auto first = number_from("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = number_from("SYCAMOREWINCH_SEEDS", 200);
    std::size_t accepted = 0;
    std::uint64_t snapshots_made = 0;
    std::uint64_t snapshots_installed = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        simulated_group group(seed, broken_variant::none);
        group.run(steps_per_seed);
        BOOST_REQUIRE_MESSAGE(group.violations().empty(), group.report());
        accepted += group.accepted_count();
        snapshots_made += group.snapshots_made();
        snapshots_installed += group.snapshots_installed();
    }
    BOOST_TEST_MESSAGE(accepted << " versions accepted, " << snapshots_made << " snapshots made, "
                                << snapshots_installed << " installed over " << seeds << " seeds");
    BOOST_TEST(accepted > 0);
    const bool is_whole_run = std::getenv("SYCAMOREWINCH_SEEDS") == nullptr;
    BOOST_TEST((!is_whole_run || (snapshots_made > 0 && snapshots_installed > 0)));
}

BOOST_AUTO_TEST_CASE(forgotten_votes_break_one_leader_per_term)
{
    BOOST_TEST(bites(broken_variant::votes_are_forgotten, group_rule::one_leader_per_term));
}

BOOST_AUTO_TEST_CASE(unsynced_writes_change_committed_entries)
{
    BOOST_TEST(bites(broken_variant::writes_are_not_synced, group_rule::committed_entries_stay));
}

BOOST_AUTO_TEST_CASE(wiped_disks_lose_accepted_edits)
{
    BOOST_TEST(bites(broken_variant::disks_are_wiped, group_rule::accepted_edits_stay));
}

BOOST_AUTO_TEST_CASE(wiped_disks_lower_the_version)
{
    BOOST_TEST(bites(broken_variant::disks_are_wiped, group_rule::version_never_lowers));
}

BOOST_AUTO_TEST_CASE(forged_payloads_make_two_tables_of_one_version)
{
    BOOST_TEST(bites(broken_variant::payloads_are_forged, group_rule::one_table_per_version));
}

BOOST_AUTO_TEST_CASE(forgotten_outcomes_answer_a_resent_edit_anew)
{
    BOOST_TEST(bites(broken_variant::outcomes_are_forgotten, group_rule::first_outcome_stays));
}

BOOST_AUTO_TEST_CASE(a_proof_without_a_quorum_is_stale)
{
    BOOST_TEST(bites(broken_variant::proof_without_quorum, group_rule::proof_is_current));
}

BOOST_AUTO_TEST_CASE(a_group_that_never_elects_does_not_recover)
{
    BOOST_TEST(bites(broken_variant::never_elects, group_rule::group_recovers));
}
