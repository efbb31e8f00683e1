/** \file
 * The operators' command-line tool.
 */
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <unistd.h>

#include <QCoreApplication>
#include <boost/program_options.hpp>

#include "base/split.h"
#include "cli/commands.h"

namespace {

using namespace sycamorewinch;
namespace po = boost::program_options;

auto environment_or(const char* name, const char* fallback) -> std::string
{
    const auto* value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

auto make_options() -> po::options_description
{
    po::options_description options("Options (each also as SYCAMOREWINCH_NAME in the environment)");
    auto add = options.add_options();
    add("control",
        po::value<std::string>()->default_value(
            environment_or("SYCAMOREWINCH_CONTROL", "127.0.0.1:7003")),
        "admin addresses of the control group, IP:PORT separated by commas");
    add("token-file",
        po::value<std::string>()->default_value(environment_or("SYCAMOREWINCH_TOKEN_FILE", "")),
        "file with the operator token");
    add("operator",
        po::value<std::string>()->default_value(
            environment_or("SYCAMOREWINCH_OPERATOR", "operator")),
        "operator name recorded in the history");
    add("file", po::value<std::string>()->default_value(""),
        "table set, add-row, remove-row: edit this working copy instead of the accepted table");
    add("edit-id", po::value<std::string>()->default_value(""),
        "id of the edit, to send it again; by default a new id is generated");
    add("timeout", po::value<unsigned>()->default_value(60), "watch: time-out in seconds");
    add("version", po::value<std::uint64_t>(),
        "watch: version to wait for; by default the current one");
    add("keep-mine", "table merge: in a conflict, keep the cell of the working copy");
    add("json", "print JSON; the default when the output is not a terminal");
    add("human", "print human-readable text, also when the output is not a terminal");
    add("help", "show this help");
    add("command", po::value<std::vector<std::string>>()->default_value({}, ""), "");
    return options;
}

/** Reads the operator token from the first line of \p path; an empty path means no token. */
auto read_token(const std::string& path) -> result<std::string>
{
    if (path.empty()) {
        return std::string();
    }
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token) || token.empty()) {
        return failure(error_kind::io,
                       "setting token-file: cannot read the token from the first line of '" + path +
                           "'");
    }
    return token;
}

auto read_options(const po::variables_map& values) -> command_options
{
    command_options options;
    options.file_ = values["file"].as<std::string>();
    options.edit_id_ = values["edit-id"].as<std::string>();
    options.watch_timeout_ = std::chrono::seconds(values["timeout"].as<unsigned>());
    options.keep_mine_ = values.count("keep-mine") > 0;
    if (values.count("version") > 0) {
        options.version_ = values["version"].as<std::uint64_t>();
    }
    return options;
}

auto run(const po::variables_map& values) -> exit_status
{
    control_client_options options;
    options.addresses_ = split_commas(values["control"].as<std::string>());
    const auto token = read_token(values["token-file"].as<std::string>());
    if (!token) {
        std::cerr << "sycamorewinch: " << token.error().message_ << '\n';
        return exit_status::wrong_arguments;
    }
    options.token_ = *token;
    control_client client(options);
    command_context context{
        client, std::cout, std::cerr, false, values["operator"].as<std::string>(), {}};
    const bool is_terminal = ::isatty(STDOUT_FILENO) != 0;
    context.options_ = read_options(values);
    context.json_ = values.count("json") > 0 || (!is_terminal && values.count("human") == 0);
    return run_command(context, values["command"].as<std::vector<std::string>>());
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const QCoreApplication application(argc, argv);
    const auto options = make_options();
    po::positional_options_description positions;
    positions.add("command", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(),
                  values);
    }
    catch (const po::error& problem) {
        std::cerr << "sycamorewinch: " << problem.what() << '\n';
        return static_cast<int>(exit_status::wrong_arguments);
    }
    if (values.count("help") > 0) {
        std::cout << "usage: sycamorewinch [options] COMMAND\n\nCommands:\n"
                  << command_help() << "\nExit statuses:\n"
                  << exit_status_help() << '\n'
                  << options;
        return 0;
    }
    return static_cast<int>(run(values));
}
