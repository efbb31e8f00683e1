// Prints the figures of docs/design/distribution.md, and holds them to the stated targets:
// build/release/bin/bench_kit_test --log_level=message
#include <boost/test/unit_test.hpp>

#include <fmt/core.h>

#include "bench_kit/convergence_run.h"

using namespace sycamorewinch;

namespace {

constexpr auto p99_target = std::chrono::seconds(1);
constexpr auto any_fault_target = std::chrono::seconds(17);
constexpr double change_target_bytes = 300;
constexpr double idle_target_bytes = 200;
constexpr double rate_target_bytes = 7000;

auto milliseconds_of(duration span) -> double
{
    return to_seconds(span) * 1000;
}

auto measure(std::string_view name, const convergence_options& options) -> convergence_figures
{
    const auto figures = measure_convergence(options);
    BOOST_TEST_MESSAGE(fmt::format(
        "{:34} p50 {:6.1f} p99 {:6.1f} max {:6.1f} ms; all known p50 {:6.1f} max {:6.1f} ms; "
        "{:9.1f} B a change and node, {:7.1f} up a relay; idle {:5.1f} B/s, with changes {:9.1f} "
        "B/s",
        name, milliseconds_of(figures.p50_), milliseconds_of(figures.p99_),
        milliseconds_of(figures.max_), milliseconds_of(figures.known_p50_),
        milliseconds_of(figures.known_max_), figures.bytes_per_change_, figures.upward_per_change_,
        figures.idle_bytes_per_second_, figures.bytes_per_second_));
    return figures;
}

const convergence_options association{.zones_ = 3, .nodes_per_zone_ = 4};
const convergence_options authority{
    .zones_ = 4, .nodes_per_zone_ = 4, .between_zones_ = std::chrono::milliseconds(5)};

/** The two sites of today with some loss. */
void check_sites(double loss)
{
    for (auto options : {association, authority}) {
        options.loss_ = loss;
        const auto name = fmt::format("{} zones, loss {} %", options.zones_, loss * 100);
        const auto figures = measure(name, options);
        BOOST_TEST((figures.p99_ <= p99_target));
        BOOST_TEST((figures.max_ <= any_fault_target));
        BOOST_TEST(figures.bytes_per_change_ <= change_target_bytes);
        BOOST_TEST(figures.idle_bytes_per_second_ <= idle_target_bytes);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(the_sites_of_today_converge_in_time)
{
    check_sites(0);
    check_sites(0.01);
    check_sites(0.05);
}

BOOST_AUTO_TEST_CASE(steps_cost_less_than_both_baselines)
{
    for (auto options : {association, authority}) {
        const auto steps = measure("steps", options);
        options.spreading_ = spreading::whole_table;
        const auto whole = measure("whole table to everybody", options);
        options.spreading_ = spreading::polling;
        const auto polling = measure("polling", options);
        BOOST_TEST(steps.bytes_per_second_ < whole.bytes_per_second_);
        BOOST_TEST(steps.bytes_per_second_ < polling.bytes_per_second_);
        BOOST_TEST((steps.p99_ < polling.p99_));
    }
}

BOOST_AUTO_TEST_CASE(one_cell_costs_the_same_whatever_the_table)
{
    auto options = association;
    options.changes_ = 10;
    options.services_ = 3800;
    const auto large = measure("3800 services", options);
    BOOST_TEST(large.bytes_per_change_ <= change_target_bytes);
    BOOST_TEST(large.bytes_per_second_ <= rate_target_bytes);
    BOOST_TEST((large.p99_ <= p99_target));
}

BOOST_AUTO_TEST_CASE(a_folded_bound_costs_less_upwards_than_acknowledgements)
{
    auto options = association;
    options.zones_ = 1;
    options.nodes_per_zone_ = 340;
    options.changes_ = 20;
    const auto folded = measure("340 nodes a relay, folded", options);
    options.acknowledging_ = acknowledging::plain;
    const auto plain = measure("340 nodes a relay, plain", options);
    BOOST_TEST(folded.upward_per_change_ < plain.upward_per_change_);
}

BOOST_AUTO_TEST_CASE(a_herd_of_restarts_is_current_in_time)
{
    auto options = association;
    options.zones_ = 1;
    options.nodes_per_zone_ = 500;
    options.changes_ = 0;
    options.services_ = 3800;
    options.all_restart_ = true;
    const auto figures = measure_convergence(options);
    BOOST_TEST_MESSAGE(fmt::format("500 nodes restart below one relay: {:.1f} ms, peak {} bytes",
                                   milliseconds_of(figures.restart_time_),
                                   figures.restart_peak_bytes_));
    BOOST_TEST((figures.restart_time_ <= any_fault_target));
}
