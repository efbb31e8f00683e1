/** \file
 * Stand-in processes for the demo and the benchmarks: `target` serves requests, `load` generates
 * calls.
 */
#include <csignal>
#include <fstream>
#include <iostream>

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <fmt/ostream.h>

#include "standin/load_generator.h"
#include "standin/standin_target.h"

namespace {

using namespace sycamorewinch;
namespace po = boost::program_options;

constexpr int exit_wrong_arguments = 2;

auto make_target_options() -> po::options_description
{
    po::options_description options("target");
    auto add = options.add_options();
    add("service", po::value<std::string>()->required(), "service of the target");
    add("target", po::value<std::string>()->required(), "name of the target within the service");
    add("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    add("node-admin", po::value<std::string>()->default_value(""), "admin address of its node");
    add("slots", po::value<std::uint32_t>()->default_value(10),
        "number of requests served concurrently");
    add("journal", po::value<std::string>()->default_value(""),
        "file to append the idempotency key of each fully received request to, and a line that "
        "begins with '! ' for each one that what it states does not allow");
    add("crash-path", po::value<std::string>()->default_value(""),
        "path at which a request terminates the process");
    add("delay-ms", po::value<int>()->default_value(0),
        "delay before each response, in milliseconds");
    add("stated-rate", po::value<double>(), "requests per second that it states it takes");
    add("leave-after-ms", po::value<int>(),
        "time after which it states that it is leaving, in milliseconds");
    return options;
}

auto make_load_options() -> po::options_description
{
    po::options_description options("load");
    auto add = options.add_options();
    add("node", po::value<std::vector<std::string>>()->required(), "IP:PORT, may be repeated");
    add("method", po::value<std::string>()->default_value("GET"), "HTTP method");
    add("path", po::value<std::string>()->default_value("/"), "path to call");
    add("caller", po::value<std::string>()->default_value(""), "name of the caller");
    add("calls", po::value<std::uint64_t>()->default_value(100), "number of calls");
    add("concurrency", po::value<unsigned>()->default_value(1), "number of calls in flight");
    add("key-prefix", po::value<std::string>()->default_value(""),
        "sets the idempotency key of each call to PREFIX-NUMBER");
    add("journal", po::value<std::string>()->default_value(""),
        "file to write a line 'KEY STATUS REFUSAL OUTCOME' to for each call");
    add("per-second", po::value<double>()->default_value(0),
        "calls to start per second; 0: keep --concurrency calls in flight");
    return options;
}

auto parse_options(const po::options_description& options,
                   const std::vector<std::string>& arguments) -> po::variables_map
{
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(options).run(), values);
    po::notify(values);
    return values;
}

auto run_target(const std::vector<std::string>& arguments) -> int
{
    const auto values = parse_options(make_target_options(), arguments);
    standin_target_options options;
    options.service_ = values["service"].as<std::string>();
    options.target_ = values["target"].as<std::string>();
    options.listen_ = parse_peer_address(values["listen"].as<std::string>()).value();
    options.crash_path_ = values["crash-path"].as<std::string>();
    options.slots_ = values["slots"].as<std::uint32_t>();
    options.delay_ = std::chrono::milliseconds(values["delay-ms"].as<int>());
    if (values.contains("stated-rate")) {
        options.stated_.max_rate_ = values["stated-rate"].as<double>();
    }
    if (values.contains("leave-after-ms")) {
        options.stated_.leave_after_ =
            std::chrono::milliseconds(values["leave-after-ms"].as<int>());
    }
    if (const auto node = values["node-admin"].as<std::string>(); !node.empty()) {
        options.node_admin_ = parse_peer_address(node).value();
    }
    std::ofstream journal;
    if (const auto path = values["journal"].as<std::string>(); !path.empty()) {
        journal.open(path, std::ios::app);
        options.on_run_ = [&journal](const std::string& key) {
            journal << key << std::endl;
        };
        options.on_disallowed_request_ = [&journal](const std::string& problem) {
            journal << disallowed_request_mark << problem << std::endl;
        };
    }
    const auto target = standin_target::start(options);
    if (!target) {
        std::cerr << target.error().message_ << '\n';
        return 1;
    }
    return QCoreApplication::exec();
}

template <typename Key>
void print_counts(const char* label, const std::map<Key, std::uint64_t>& counts)
{
    for (const auto& [key, count] : counts) {
        fmt::print("{} {}: {}\n", label, key, count);
    }
}

void print(const load_result& outcome)
{
    constexpr double milliseconds_per_second = 1e3;
    print_counts("status", outcome.by_status_);
    print_counts("refusal", outcome.by_refusal_);
    print_counts("target", outcome.by_target_);
    for (const double fraction : {0.5, 0.99, 0.999}) {
        fmt::print("latency p{:g}: {:.3f} ms\n", fraction * 100,
                   quantile_of(outcome.seconds_, fraction) * milliseconds_per_second);
    }
}

auto run_load(const std::vector<std::string>& arguments) -> int
{
    const auto values = parse_options(make_load_options(), arguments);
    load_options options;
    for (const auto& node : values["node"].as<std::vector<std::string>>()) {
        options.nodes_.push_back(parse_peer_address(node).value());
    }
    options.method_ = values["method"].as<std::string>();
    options.path_ = values["path"].as<std::string>();
    options.caller_ = values["caller"].as<std::string>();
    options.calls_ = values["calls"].as<std::uint64_t>();
    options.concurrency_ = values["concurrency"].as<unsigned>();
    options.per_second_ = values["per-second"].as<double>();
    options.key_prefix_ = values["key-prefix"].as<std::string>();
    std::ofstream journal;
    if (const auto path = values["journal"].as<std::string>(); !path.empty()) {
        journal.open(path);
        options.on_call_ = [&journal](const call_record& record) {
            fmt::print(journal, "{} {} {} {}\n", record.key_, record.status_,
                       record.refusal_.empty() ? "-" : record.refusal_,
                       record.outcome_.empty() ? "-" : record.outcome_);
        };
    }
    const auto load = generate_load(options, [](const load_result& outcome) {
        print(outcome);
        QCoreApplication::quit();
    });
    return QCoreApplication::exec();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const QCoreApplication application(argc, argv);
    std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto command = arguments.empty() ? std::string() : arguments.front();
    if (command != "target" && command != "load") {
        std::cerr << "usage: sycamorewinch-standin target|load [options]\n\n"
                  << make_target_options() << make_load_options();
        return exit_wrong_arguments;
    }
    arguments.erase(arguments.begin());
    try {
        return command == "target" ? run_target(arguments) : run_load(arguments);
    }
    catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return exit_wrong_arguments;
    }
}
