// Prints the figures of docs/design/distribution.md and checks them against the stated targets:
// build/release/bin/bench_kit_test --log_level=message
#include <boost/test/unit_test.hpp>

#include <fmt/core.h>

#include "bench_kit/convergence_run.h"

using namespace sycamorewinch;

namespace {

constexpr auto p99_target = std::chrono::seconds(1);
constexpr auto any_fault_target = std::chrono::seconds(17);
constexpr double change_target_bytes = 300;
constexpr double idle_target_bytes_per_second = 200;
constexpr double rate_target_bytes_per_second = 7000;

auto milliseconds_of(duration span) -> double
{
    return to_seconds(span) * 1000;
}

auto measure(std::string_view name, const convergence_options& options) -> convergence_figures
{
    const auto figures = measure_convergence(options);
    BOOST_TEST_MESSAGE(fmt::format(
        "{:34} p50 {:6.1f} p99 {:6.1f} max {:6.1f} ms; all known p50 {:6.1f} max {:6.1f} ms; "
        "{:9.1f} B per change and node, {:7.1f} B up per relay; idle {:5.1f} B/s, with changes "
        "{:9.1f} "
        "B/s",
        name, milliseconds_of(figures.p50_), milliseconds_of(figures.p99_),
        milliseconds_of(figures.max_), milliseconds_of(figures.known_p50_),
        milliseconds_of(figures.known_max_), figures.bytes_per_change_,
        figures.upward_bytes_per_change_, figures.idle_bytes_per_second_,
        figures.bytes_per_second_));
    return figures;
}

// The two current deployments: the association's has three zones, the authority's has four.
const convergence_options three_zones{.zones_ = 3, .nodes_per_zone_ = 4};
const convergence_options four_zones{
    .zones_ = 4, .nodes_per_zone_ = 4, .between_zones_ = std::chrono::milliseconds(5)};

/** Checks the two current deployments at message loss rate \p loss_rate. */
void check_current_deployments(double loss_rate)
{
    for (auto options : {three_zones, four_zones}) {
        options.loss_rate_ = loss_rate;
        const auto name = fmt::format("{} zones, loss {} %", options.zones_, loss_rate * 100);
        const auto figures = measure(name, options);
        BOOST_TEST((figures.p99_ <= p99_target));
        BOOST_TEST((figures.max_ <= any_fault_target));
        BOOST_TEST(figures.bytes_per_change_ <= change_target_bytes);
        BOOST_TEST(figures.idle_bytes_per_second_ <= idle_target_bytes_per_second);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(current_deployments_converge_within_targets)
{
    check_current_deployments(0);
    check_current_deployments(0.01);
    check_current_deployments(0.05);
}

BOOST_AUTO_TEST_CASE(row_changes_cost_less_than_both_baselines)
{
    for (auto options : {three_zones, four_zones}) {
        const auto row_changes = measure("changed rows", options);
        options.distribution_mode_ = distribution_mode::whole_table;
        const auto whole = measure("whole table to every node", options);
        options.distribution_mode_ = distribution_mode::polling;
        const auto polling = measure("polling", options);
        BOOST_TEST(row_changes.bytes_per_second_ < whole.bytes_per_second_);
        BOOST_TEST(row_changes.bytes_per_second_ < polling.bytes_per_second_);
        BOOST_TEST((row_changes.p99_ < polling.p99_));
    }
}

BOOST_AUTO_TEST_CASE(change_size_is_independent_of_table_size)
{
    auto options = three_zones;
    options.changes_ = 10;
    options.services_ = 3800;
    const auto large = measure("3800 services", options);
    BOOST_TEST(large.bytes_per_change_ <= change_target_bytes);
    BOOST_TEST(large.bytes_per_second_ <= rate_target_bytes_per_second);
    BOOST_TEST((large.p99_ <= p99_target));
}

BOOST_AUTO_TEST_CASE(aggregated_progress_costs_less_than_individual_acknowledgements)
{
    auto options = three_zones;
    options.zones_ = 1;
    options.nodes_per_zone_ = 340;
    options.changes_ = 20;
    const auto aggregated = measure("340 nodes per relay, aggregated", options);
    options.acknowledgement_mode_ = acknowledgement_mode::individual;
    const auto individual = measure("340 nodes per relay, individual", options);
    BOOST_TEST(aggregated.upward_bytes_per_change_ < individual.upward_bytes_per_change_);
}

BOOST_AUTO_TEST_CASE(simultaneous_node_restarts_recover_within_target)
{
    auto options = three_zones;
    options.zones_ = 1;
    options.nodes_per_zone_ = 500;
    options.changes_ = 0;
    options.services_ = 3800;
    options.restart_before_changes_ = true;
    const auto figures = measure_convergence(options);
    BOOST_TEST_MESSAGE(
        fmt::format("500 nodes of one relay restart: {:.1f} ms, peak {} bytes in flight",
                    milliseconds_of(figures.restart_time_), figures.restart_peak_bytes_));
    BOOST_TEST((figures.restart_time_ <= any_fault_target));
}
