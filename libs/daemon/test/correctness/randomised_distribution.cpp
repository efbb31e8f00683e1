// Runs the distribution simulation with many seeds, and with variants that break an invariant on
// purpose. Replay one seed: SYCAMOREWINCH_FROM_SEED=S SYCAMOREWINCH_SEEDS=1
// build/release/bin/daemon_test
// --run_test=no_invariant_breaks_in_randomised_runs
#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "../support/distribution_simulation.h"

using namespace sycamorewinch;
using namespace sycamorewinch::test;

namespace {

constexpr std::uint64_t default_seeds = 200;
constexpr std::uint64_t variant_seeds = 20;

auto number_from_environment(const char* name, std::uint64_t default_value) -> std::uint64_t
{
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

void report(std::uint64_t seed, const distribution_simulation& simulation)
{
    for (const auto& event : simulation.trace()) {
        BOOST_TEST_MESSAGE(event);
    }
    BOOST_ERROR("seed " << seed << ": " << simulation.violation()
                        << "\nreplay: SYCAMOREWINCH_FROM_SEED=" << seed
                        << " SYCAMOREWINCH_SEEDS=1 build/release/bin/daemon_test "
                           "--run_test=no_invariant_breaks_in_randomised_runs "
                           "--log_level=message");
}

/** Returns the first violation that \p variant causes, or an empty string if no seed finds one. */
auto violation_of(broken_variant variant) -> std::string
{
    for (std::uint64_t seed = 1; seed <= variant_seeds; ++seed) {
        distribution_simulation simulation({.seed_ = seed, .variant_ = variant});
        simulation.run();
        if (!simulation.violation().empty()) {
            return simulation.violation();
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_CASE(no_invariant_breaks_in_randomised_runs)
{
    const auto from = number_from_environment("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = number_from_environment("SYCAMOREWINCH_SEEDS", default_seeds);
    for (auto seed = from; seed < from + seeds; ++seed) {
        distribution_simulation simulation({.seed_ = seed});
        simulation.run();
        if (!simulation.violation().empty()) {
            report(seed, simulation);
            return;
        }
    }
}

BOOST_AUTO_TEST_CASE(detects_a_proof_without_a_quorum)
{
    BOOST_TEST(violation_of(broken_variant::proof_without_quorum).find("older than") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_a_forged_row)
{
    BOOST_TEST(violation_of(broken_variant::forged_row).find("was not accepted") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_a_partial_table)
{
    BOOST_TEST(violation_of(broken_variant::partial_table).find("a part of") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_a_route_to_a_target_that_is_not_up)
{
    BOOST_TEST(violation_of(broken_variant::routes_to_unavailable_target).find("not up") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_a_process_that_never_leaves_a_silent_upstream)
{
    BOOST_TEST(violation_of(broken_variant::never_leaves_stale_upstream).find("do not agree") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_a_drain_that_is_not_reported)
{
    BOOST_TEST(violation_of(broken_variant::drain_not_reported).find("work to draining") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_an_incarnation_that_is_not_raised)
{
    BOOST_TEST(violation_of(broken_variant::incarnation_not_raised).find("does not know") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_rollouts_that_are_not_proved)
{
    BOOST_TEST(violation_of(broken_variant::rollouts_not_proved).find("routes by roll-outs") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(detects_a_lease_that_never_ends)
{
    BOOST_TEST(violation_of(broken_variant::leases_never_end).find("work to dead") !=
               std::string::npos);
}
