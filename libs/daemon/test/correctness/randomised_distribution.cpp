// Replay one seed: SYCAMOREWINCH_FROM_SEED=S SYCAMOREWINCH_SEEDS=1 build/release/bin/daemon_test
// --run_test=no_invariant_breaks_in_randomised_runs
#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "../support/distribution_world.h"

using namespace sycamorewinch;
using namespace sycamorewinch::test;

namespace {

constexpr std::uint64_t default_seeds = 200;
constexpr std::uint64_t variant_seeds = 20;

auto number_from_environment(const char* name, std::uint64_t otherwise) -> std::uint64_t
{
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void report(std::uint64_t seed, const distribution_world& world)
{
    for (const auto& event : world.trace()) {
        BOOST_TEST_MESSAGE(event);
    }
    BOOST_ERROR("seed " << seed << ": " << world.violation()
                        << "\nreplay: SYCAMOREWINCH_FROM_SEED=" << seed
                        << " SYCAMOREWINCH_SEEDS=1 build/release/bin/daemon_test "
                           "--run_test=no_invariant_breaks_in_randomised_runs "
                           "--log_level=message");
}

/** Returns the first violation that a broken variant leads to. */
auto violation_of(broken_variant variant) -> std::string
{
    for (std::uint64_t seed = 1; seed <= variant_seeds; ++seed) {
        distribution_world world({.seed_ = seed, .variant_ = variant});
        world.run();
        if (!world.violation().empty()) {
            return world.violation();
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
        distribution_world world({.seed_ = seed});
        world.run();
        if (!world.violation().empty()) {
            report(seed, world);
            return;
        }
    }
}

BOOST_AUTO_TEST_CASE(a_proof_without_a_quorum_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::proof_without_quorum).find("older than") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_forged_row_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::forged_row).find("was not accepted") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_partial_table_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::partial_table).find("a part of") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_route_to_a_target_that_left_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::routes_to_gone).find("not up") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_captive_of_a_silent_upstream_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::captive_of_upstream).find("do not agree") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_drain_that_is_not_told_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::drain_not_told).find("work to draining") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_incarnation_that_is_not_raised_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::incarnation_not_raised).find("does not know") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_lease_that_never_ends_is_seen)
{
    BOOST_TEST(violation_of(broken_variant::leases_never_end).find("work to dead") !=
               std::string::npos);
}
