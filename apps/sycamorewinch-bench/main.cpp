/** \file
 * The bench: measures costs over ladders of sizes and prints the raw runs.
 */
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>
#include <fmt/core.h>

#include "bench/control_cost.h"
#include "bench/distribution_cost.h"
#include "bench/node_cost.h"

namespace {

using namespace sycamorewinch;
namespace po = boost::program_options;

auto make_options() -> po::options_description
{
    po::options_description options("sycamorewinch-bench");
    auto add = options.add_options();
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the runs");
    add("repeats", po::value<unsigned>()->default_value(3), "repeats of each timed point");
    add("out", po::value<std::string>()->default_value(""), "file for the raw run as JSON");
    add("help", "show this help");
    return options;
}

void print(const series& one)
{
    const auto line = fit_line(one.points_);
    fmt::print("{} ({} by {}): {:.4g} + {:.4g} +- {:.2g} each, bend {:.2f}\n", one.name_, one.unit_,
               one.size_name_, line.intercept_, line.slope_, line.slope_error_, line.bend_);
    for (const auto& point : one.points_) {
        fmt::print("  {:>8.0f}  {:>12.4g} {:>12.4g} {:>12.4g}\n", point.size_, point.low_,
                   point.median_, point.high_);
    }
}

void measure(raw_run& run, const char* name,
             std::vector<series> (*measure_part)(const run_settings& settings))
{
    std::cerr << "measuring " << name << '\n';
    for (auto& one : measure_part(run.settings_)) {
        print(one);
        run.series_.push_back(std::move(one));
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto options = make_options();
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).run(), values);
    }
    catch (const po::error& problem) {
        std::cerr << problem.what() << '\n' << options;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    raw_run run{{values["seed"].as<std::uint64_t>(), values["repeats"].as<unsigned>()}, {}};
    measure(run, "distribution", measure_distribution);
    measure(run, "control", measure_control);
    measure(run, "node", measure_node);
    if (const auto path = values["out"].as<std::string>(); !path.empty()) {
        std::ofstream(path) << to_json_text(run);
    }
    return 0;
}
