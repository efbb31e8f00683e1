#include "settings/daemon_settings.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include <QHostAddress>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "base/enum_names.h"
#include "settings/settings_reader.h"

namespace sycamorewinch {

namespace {

namespace po = boost::program_options;
using internal::settings_reader;

constexpr enum_names<daemon_role, 3> role_names{{"control", "relay", "node"}};
constexpr enum_names<outer_interface, 2> interface_names{{"own", "platform"}};
constexpr std::string_view environment_prefix = "SYCAMOREWINCH_";
constexpr unsigned max_workers = 256;

auto make_options() -> po::options_description
{
    po::options_description options(
        "Settings (each also as SYCAMOREWINCH_NAME in the environment)");
    auto add = options.add_options();
    const auto text = [] {
        return po::value<std::string>();
    };
    const auto empty = [] {
        return po::value<std::string>()->default_value("");
    };
    add("role", text(), "control, relay or node");
    add("name", text(), "this process's name, unique in the system");
    add("zone", text(), "the availability zone it runs in");
    add("listen-peers", text(), "IP:PORT for the system's other processes");
    add("listen-callers", text(), "node: IP:PORT for callers");
    add("listen-admin", text(), "IP:PORT for operators, metrics, health and targets");
    add("control-peers", empty(), "control: NAME=IP:PORT of every replica, separated by commas");
    add("upstreams", empty(),
        "relay, node: IP:PORT of processes to subscribe to, separated by commas");
    const auto usual = [](const char* value) {
        return po::value<std::string>()->default_value(value);
    };
    add("control-seeds", empty(),
        "control: IP:PORT of some VMs of a group that forms and changes by itself");
    add("control-port", empty(),
        "the port for peers of every control VM, in place of those in control-seeds and upstreams");
    add("found-group", usual("no"), "control: yes at the first start of all seeds");
    add("tolerated-losses", usual("1"), "control: disks that may be lost at once, 1 to 5");
    add("control-heartbeat-ms", usual("50"), "control: between a leader's heartbeats");
    add("proof-period-ms", usual("2000"), "node: between two proofs that its table is current");
    add("proof-timeout-ms", usual("8000"), "node: without a proof it changes its upstream");
    add("leave-notice-ms", usual("0"),
        "node: asked to end, it goes on taking calls for so long, while it says it is not ready");
    add("requests-ahead", usual("0"),
        "node: requests sent beyond a target's slots, so that no slot is idle, 0 to 100");
    add("prefer-own-zone", usual("no"), "node: yes chooses targets of the own zone first");
    add("interface", usual("own"), "own or platform: who calls from outside, and how");
    add("interface-control", empty(), "platform: IP:PORT for operators, or for the own server");
    add("interface-ready", empty(), "platform, node: IP:PORT for questions of readiness");
    add("own-target", empty(), "platform, node: IP:PORT of the server beside it");
    add("own-service", empty(), "platform, node: service of the server beside it");
    add("target-heartbeat-ms", usual("1500"), "platform, node: between a server's announcements");
    add("trusted-network", usual("no"),
        "yes: nobody else reaches these addresses, so keys and tokens are not needed");
    add("settings-file", empty(), "file with lines NAME = VALUE; read again when it changes");
    add("data-dir", empty(), "control: the data folder");
    add("cluster-key-file", empty(),
        "file with the secret that all processes share; without it only loopback is used");
    add("operator-token-file", empty(),
        "file with the bearer token of the operator API; without it only loopback is used");
    add("workers", po::value<std::string>()->default_value("1"),
        "node: threads that carry calls, 1 to 256");
    add("log-level", po::value<std::string>()->default_value("info"),
        "debug, info, warning or error");
    add("check-settings", "check the settings and stop");
    add("help", "show this help");
    add("version", "show the version");
    return options;
}

auto is_loopback(const peer_address& address) -> bool
{
    return QHostAddress(QString::fromStdString(address.host_)).isLoopback();
}

void check_loopback(settings_reader& reader, const daemon_settings& settings)
{
    if (settings.is_network_trusted_) {
        return;
    }
    const auto check = [&reader](const char* name, const peer_address& address,
                                 const char* needed) {
        if (!is_loopback(address)) {
            reader.refuse(name, to_text(address),
                          fmt::format("without {} only a loopback address", needed));
        }
    };
    if (settings.cluster_key_file_.empty()) {
        check("listen-peers", settings.listen_peers_, "cluster-key-file");
    }
    if (settings.operator_token_file_.empty()) {
        check("listen-admin", settings.listen_admin_, "operator-token-file");
    }
}

/** No two listening addresses may be one. */
void check_listening(settings_reader& reader, const daemon_settings& settings)
{
    const auto peers = to_text(settings.listen_peers_);
    const auto admin = to_text(settings.listen_admin_);
    if (admin == peers) {
        reader.refuse("listen-admin", admin, "listen-peers has the same address");
    }
    if (!settings.listen_callers_) {
        return;
    }
    const auto callers = to_text(*settings.listen_callers_);
    if (callers == peers || callers == admin) {
        reader.refuse("listen-callers", callers,
                      "listen-peers or listen-admin has the same address");
    }
}

/** Each replica stands once in the list. */
void check_peers(settings_reader& reader, const std::vector<control_peer>& peers)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (const auto& peer : peers) {
        if (!names.insert(peer.name_).second || !addresses.insert(to_text(peer.address_)).second) {
            reader.refuse("control-peers", fmt::format("{}={}", peer.name_, to_text(peer.address_)),
                          "each name and each address stands once");
        }
    }
}

/** Returns \p addresses with the port that all control VMs share, if one is set. */
auto on_control_port(settings_reader& reader, std::vector<peer_address> addresses)
    -> std::vector<peer_address>
{
    constexpr unsigned max_port = 65'535;
    if (!reader.optional_text("control-port").empty()) {
        const auto port = static_cast<std::uint16_t>(reader.count("control-port", max_port));
        for (auto& address : addresses) {
            address.port_ = port;
        }
    }
    return addresses;
}

constexpr unsigned max_losses = 5;
constexpr unsigned max_requests_ahead = 100;
constexpr unsigned longest_period_ms = 60'000;

void read_control_settings(settings_reader& reader, daemon_settings& settings)
{
    settings.control_heartbeat_ = reader.milliseconds("control-heartbeat-ms", longest_period_ms);
    settings.control_seeds_ = on_control_port(reader, reader.addresses("control-seeds"));
    if (!settings.control_seeds_.empty()) {
        settings.founds_group_ = reader.yes_no("found-group");
        settings.tolerated_losses_ = reader.count("tolerated-losses", max_losses);
        settings.data_dir_ = reader.text("data-dir");
        return;
    }
    settings.control_peers_ = reader.peers("control-peers");
    check_peers(reader, settings.control_peers_);
    settings.data_dir_ = reader.text("data-dir");
    if (std::ranges::find(settings.control_peers_, settings.name_, &control_peer::name_) ==
        settings.control_peers_.end()) {
        reader.refuse("control-peers", reader.optional_text("control-peers"),
                      fmt::format("it must list this replica, '{}'", settings.name_));
    }
}

void read_subscriber_settings(settings_reader& reader, daemon_settings& settings)
{
    settings.upstreams_ = on_control_port(reader, reader.addresses("upstreams"));
    if (settings.upstreams_.empty()) {
        reader.refuse("upstreams", "", "one IP:PORT or more");
    }
    if (settings.role_ == daemon_role::node) {
        settings.listen_callers_ = reader.address("listen-callers");
        settings.workers_ = reader.count("workers", max_workers);
        settings.prefers_own_zone_ = reader.yes_no("prefer-own-zone");
        settings.leave_notice_ =
            std::chrono::milliseconds(reader.count("leave-notice-ms", longest_period_ms, 0));
        settings.requests_ahead_ = reader.count("requests-ahead", max_requests_ahead, 0);
        settings.proof_period_ = reader.milliseconds("proof-period-ms", longest_period_ms);
        settings.proof_timeout_ = reader.milliseconds("proof-timeout-ms", longest_period_ms);
    }
}

void read_interface_settings(settings_reader& reader, daemon_settings& settings)
{
    const auto text = reader.text("interface");
    const auto interface = interface_names.parse(text);
    if (!interface) {
        reader.refuse("interface", text, "own or platform");
        return;
    }
    settings.interface_ = *interface;
    if (settings.interface_ == outer_interface::own || settings.role_ == daemon_role::relay) {
        return;
    }
    settings.interface_control_ = reader.address("interface-control");
    if (settings.role_ == daemon_role::node) {
        settings.interface_ready_ = reader.address("interface-ready");
        settings.own_target_ = reader.optional_address("own-target");
        settings.own_service_ = reader.text("own-service");
        settings.target_heartbeat_ = reader.milliseconds("target-heartbeat-ms", longest_period_ms);
    }
}

auto read_settings(const po::variables_map& values) -> result<daemon_settings>
{
    settings_reader reader(values);
    daemon_settings settings;
    const auto role_text = reader.text("role");
    const auto role = role_names.parse(role_text);
    if (!role) {
        reader.refuse("role", role_text, "control, relay or node");
    }
    settings.role_ = role.value_or(daemon_role::node);
    settings.name_ = reader.name("name");
    settings.availability_zone_ = reader.name("zone");
    settings.listen_peers_ = reader.address("listen-peers");
    settings.listen_admin_ = reader.address("listen-admin");
    settings.cluster_key_file_ = reader.optional_text("cluster-key-file");
    settings.operator_token_file_ = reader.optional_text("operator-token-file");
    const auto level_text = reader.text("log-level");
    const auto level = parse_log_level(level_text);
    if (!level) {
        reader.refuse("log-level", level_text, "debug, info, warning or error");
    }
    settings.log_level_ = level.value_or(log_level::info);
    settings.is_network_trusted_ = reader.yes_no("trusted-network");
    settings.settings_file_ = reader.optional_text("settings-file");
    read_interface_settings(reader, settings);
    if (settings.role_ == daemon_role::control) {
        read_control_settings(reader, settings);
    }
    else {
        read_subscriber_settings(reader, settings);
    }
    check_loopback(reader, settings);
    check_listening(reader, settings);
    if (reader.problem()) {
        return tl::unexpected(*reader.problem());
    }
    return settings;
}

/** Returns the name of the environment variable of a setting. */
auto variable_of(const std::string& name) -> std::string
{
    std::string variable(environment_prefix);
    for (const char letter : name) {
        const auto upper = std::toupper(static_cast<unsigned char>(letter));
        variable.push_back(letter == '-' ? '_' : static_cast<char>(upper));
    }
    return variable;
}

void store_arguments(const po::options_description& options,
                     const std::vector<std::string>& arguments, po::variables_map& values)
{
    const po::positional_options_description none;
    constexpr int whole_names_only = static_cast<int>(po::command_line_style::unix_style) &
                                     ~static_cast<int>(po::command_line_style::allow_guessing);
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(none)
                  .style(whole_names_only)
                  .run(),
              values);
}

void store_environment(const po::options_description& options, const environment_hook& environment,
                       po::variables_map& values)
{
    po::parsed_options parsed(&options);
    for (const auto& option : options.options()) {
        const auto& name = option->long_name();
        const auto value = environment(variable_of(name));
        if (value && option->semantic()->max_tokens() > 0) {
            parsed.options.emplace_back(name, std::vector<std::string>{*value});
        }
    }
    po::store(parsed, values);
}

} // namespace

auto name_of(daemon_role role) -> std::string_view
{
    return role_names.name(role);
}

auto process_environment() -> environment_hook
{
    return [](const std::string& name) -> std::optional<std::string> {
        const auto* value = std::getenv(name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
}

auto setting_variables() -> std::vector<std::string>
{
    std::vector<std::string> names;
    const auto options = make_options();
    for (const auto& option : options.options()) {
        if (option->semantic()->max_tokens() > 0) {
            names.push_back(variable_of(option->long_name()));
        }
    }
    return names;
}

auto read_settings_file(const std::vector<std::string>& arguments,
                        const environment_hook& environment) -> result<std::string>
{
    const auto options = make_options();
    po::variables_map values;
    try {
        store_arguments(options, arguments, values);
        store_environment(options, environment, values);
    }
    catch (const po::error& problem) {
        return failure(error_kind::invalid_input, problem.what());
    }
    const auto& path = values["settings-file"].as<std::string>();
    if (path.empty()) {
        return std::string();
    }
    std::ifstream file(path);
    std::ostringstream contents;
    contents << file.rdbuf();
    if (!file) {
        return failure(error_kind::io,
                       fmt::format("setting settings-file: '{}' cannot be read", path));
    }
    return contents.str();
}

auto parse_daemon_settings(const std::vector<std::string>& arguments,
                           const environment_hook& environment) -> result<parsed_settings>
{
    const auto options = make_options();
    po::variables_map values;
    try {
        const auto file = read_settings_file(arguments, environment);
        if (!file) {
            return tl::unexpected(file.error());
        }
        store_arguments(options, arguments, values); // what is stored first wins
        store_environment(options, environment, values);
        std::istringstream lines(*file);
        po::store(po::parse_config_file(lines, options), values);
    }
    catch (const po::error& problem) {
        return failure(error_kind::invalid_input, problem.what());
    }
    parsed_settings parsed;
    if (values.count("help") > 0) {
        std::ostringstream help;
        help << options;
        parsed.help_ = help.str();
        parsed.action_ = settings_action::show_help;
        return parsed;
    }
    if (values.count("version") > 0) {
        parsed.action_ = settings_action::show_version;
        return parsed;
    }
    auto settings = read_settings(values);
    if (!settings) {
        return tl::unexpected(settings.error());
    }
    parsed.settings_ = std::move(*settings);
    parsed.action_ =
        values.count("check-settings") > 0 ? settings_action::check_only : settings_action::run;
    return parsed;
}

} // namespace sycamorewinch
