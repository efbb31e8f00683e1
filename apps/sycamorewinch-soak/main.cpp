/** \file
 * The fault-injection soak test: runs real processes on loopback under load, faults and table
 * edits, and checks the guarantees of the system. Exits with status 1 when a guarantee was
 * violated.
 */
#include <filesystem>
#include <iostream>

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <fmt/core.h>

#include "soak/soak_run.h"

namespace {

using namespace sycamorewinch;
namespace po = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_wrong_arguments = 2;

auto make_options() -> po::options_description
{
    po::options_description options("sycamorewinch-soak");
    auto add = options.add_options();
    add("seeds", po::value<std::uint64_t>()->default_value(1),
        "number of runs, each with the next seed");
    add("from", po::value<std::uint64_t>()->default_value(1), "seed of the first run");
    add("seconds", po::value<unsigned>()->default_value(10),
        "duration of fault injection in each run");
    add("nodes", po::value<unsigned>()->default_value(6),
        "number of nodes with one target each, 2 to 250");
    add("per-second", po::value<double>()->default_value(50),
        "calls per second for each of two rows; two fifths for the row of slow targets");
    add("port", po::value<std::uint16_t>()->default_value(21000), "first port of the range used");
    add("work", po::value<std::string>()->default_value("/tmp/sycamorewinch-soak"),
        "directory for data, logs and journals; kept for runs with violations");
    add("help", "show this help");
    return options;
}

/** Runs one seed and prints its counts, violations and faults. Returns false when a guarantee was
 * violated or the setup of the run failed. */
auto run_seed(std::uint64_t seed, const po::variables_map& values) -> bool
{
    const auto work_directory = fmt::format("{}/seed-{}", values["work"].as<std::string>(), seed);
    std::filesystem::remove_all(work_directory);
    std::filesystem::create_directories(work_directory);
    soak_options options;
    options.seed_ = seed;
    options.paths_ = {QCoreApplication::applicationDirPath().toStdString(), work_directory,
                      values["port"].as<std::uint16_t>()};
    options.size_.nodes_ = values["nodes"].as<unsigned>();
    options.size_.length_ = std::chrono::seconds(values["seconds"].as<unsigned>());
    options.calls_per_second_ = values["per-second"].as<double>();
    const auto outcome = run_soak(options);
    if (!outcome) {
        fmt::print("seed {}: setup failed: {}\n", seed, outcome.error().message_);
        return false;
    }
    const auto& counts = outcome->counts_;
    fmt::print("seed {}: {} processes, {} faults; {} calls, {} answered, {} refused as not run, {} "
               "unknown ({} timed out); {} runs; {} edits accepted; {} version observations\n",
               seed, outcome->processes_, outcome->faults_, counts.calls_, counts.answered_,
               counts.refused_not_run_, counts.unknown_, counts.timed_out_, counts.runs_,
               counts.edits_accepted_, counts.versions_seen_);
    for (const auto& line : outcome->violations_) {
        fmt::print("  VIOLATION: {}\n", line);
    }
    if (!outcome->violations_.empty()) {
        for (const auto& line : outcome->fault_log_) {
            fmt::print("  fault: {}\n", line);
        }
        fmt::print("  logs: {}\n", work_directory);
        return false;
    }
    std::filesystem::remove_all(work_directory);
    return true;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const QCoreApplication application(argc, argv);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, make_options()), values);
        po::notify(values);
    }
    catch (const po::error& problem) {
        std::cerr << problem.what() << '\n' << make_options();
        return exit_wrong_arguments;
    }
    if (values.contains("help")) {
        std::cout << make_options();
        return 0;
    }
    const auto first_seed = values["from"].as<std::uint64_t>();
    std::uint64_t failed_seeds = 0;
    for (auto seed = first_seed; seed < first_seed + values["seeds"].as<std::uint64_t>(); ++seed) {
        failed_seeds += run_seed(seed, values) ? 0 : 1;
        std::fflush(stdout);
    }
    fmt::print("{} seeds, {} failed\n", values["seeds"].as<std::uint64_t>(), failed_seeds);
    return failed_seeds == 0 ? 0 : exit_failed;
}
