/** \file
 * The benchmark program: `measure` measures costs over a range of sizes and writes the raw
 * results; `report` generates the tables of the capacity page from raw results.
 */
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/core.h>

#include "bench/capacity_report.h"
#include "bench/control_cost.h"
#include "bench/distribution_cost.h"
#include "bench/node_cost.h"

namespace {

using namespace sycamorewinch;
namespace po = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_wrong_arguments = 2;

auto make_options() -> po::options_description
{
    po::options_description options("usage: sycamorewinch-bench measure|report [options]");
    auto add = options.add_options();
    add("seed", po::value<std::uint64_t>()->default_value(1), "measure: random seed");
    add("repeats", po::value<unsigned>()->default_value(3),
        "measure: repetitions of each timed measurement");
    add("out", po::value<std::string>()->default_value(""),
        "measure: file to write the raw results to (JSON)");
    add("raw", po::value<std::vector<std::string>>()->default_value({}, ""),
        "report: file with raw results; may be repeated");
    add("page", po::value<std::string>()->default_value(""),
        "report: page whose tables are replaced; if empty, the tables are printed");
    add("help", "show this help");
    add("command", po::value<std::string>()->default_value(""), "");
    return options;
}

void print(const series& entry)
{
    const auto line = fit_line(entry.points_);
    fmt::print("{} ({} by {}): {:.4g} + {:.4g} +- {:.2g} each, bend {:.2f}\n", entry.name_,
               entry.unit_, entry.size_name_, line.intercept_, line.slope_, line.slope_error_,
               line.bend_);
    for (const auto& point : entry.points_) {
        fmt::print("  {:>8.0f}  {:>12.4g} {:>12.4g} {:>12.4g}\n", point.size_, point.low_,
                   point.median_, point.high_);
    }
}

void measure_part(raw_run& run, const char* name,
                  std::vector<series> (*measure)(const run_settings& settings))
{
    std::cerr << "measuring " << name << '\n';
    for (auto& entry : measure(run.settings_)) {
        print(entry);
        run.series_.push_back(std::move(entry));
    }
}

auto run_measure(const po::variables_map& values) -> int
{
    raw_run run{{values["seed"].as<std::uint64_t>(), values["repeats"].as<unsigned>()}, {}};
    fmt::print("seed {}, {} repeats\n", run.settings_.seed_, run.settings_.repeats_);
    measure_part(run, "distribution", measure_distribution);
    measure_part(run, "control", measure_control);
    measure_part(run, "node", measure_node);
    const auto path = values["out"].as<std::string>();
    if (path.empty()) {
        return 0;
    }
    std::ofstream file(path);
    file << to_json_text(run);
    if (!file.good()) {
        std::cerr << "cannot write " << path << '\n';
        return exit_failed;
    }
    return 0;
}

auto read_file(const std::string& path) -> std::string
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

auto read_runs(const std::vector<std::string>& paths) -> result<raw_run>
{
    raw_run all;
    for (const auto& path : paths) {
        auto run = parse_raw_run(read_file(path));
        if (!run) {
            return failure(run.error().kind_, path + ": " + run.error().message_);
        }
        std::ranges::move(run->series_, std::back_inserter(all.series_));
    }
    return all;
}

auto write_page(const std::string& path, const std::string& slopes, const std::string& capacity)
    -> result<void>
{
    const auto with_slopes = replace_table(read_file(path), "slopes", slopes);
    const auto page = with_slopes.and_then(
        [&](const std::string& text) { return replace_table(text, "capacity", capacity); });
    if (!page) {
        return tl::unexpected(page.error());
    }
    std::ofstream(path) << *page;
    return {};
}

auto run_report(const po::variables_map& values) -> int
{
    const auto run = read_runs(values["raw"].as<std::vector<std::string>>());
    const auto rows =
        run.and_then([](const raw_run& all) { return compute_capacity(all, capacity_target()); });
    if (!rows) {
        std::cerr << rows.error().message_ << '\n';
        return exit_failed;
    }
    const auto slopes = slopes_table(*run);
    const auto capacity = capacity_table(*rows);
    const auto path = values["page"].as<std::string>();
    if (path.empty()) {
        std::cout << slopes << '\n' << capacity;
        return 0;
    }
    if (const auto written = write_page(path, slopes, capacity); !written) {
        std::cerr << path << ": " << written.error().message_ << '\n';
        return exit_failed;
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto options = make_options();
    po::positional_options_description positions;
    positions.add("command", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(),
                  values);
    }
    catch (const po::error& problem) {
        std::cerr << problem.what() << '\n' << options;
        return exit_wrong_arguments;
    }
    const auto command = values["command"].as<std::string>();
    if (command == "measure") {
        return run_measure(values);
    }
    if (command == "report") {
        return run_report(values);
    }
    std::cout << options;
    return values.count("help") > 0 ? 0 : exit_wrong_arguments;
}
