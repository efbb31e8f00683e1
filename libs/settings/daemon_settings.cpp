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
constexpr enum_names<external_interface_kind, 2> interface_names{{"own", "platform"}};
constexpr std::string_view environment_prefix = "SYCAMOREWINCH_";
constexpr unsigned max_workers = 256;

/** Adds how a node proves that its table is current. */
void add_proof_options(po::options_description& options)
{
    auto add = options.add_options();
    const auto with_default = [](const char* value) {
        return po::value<std::string>()->default_value(value);
    };
    add("proof-period-ms", with_default("2000"),
        "node: interval between proofs that its table is current");
    add("proof-timeout-ms", with_default("8000"),
        "node: time without a proof after which it switches to another upstream");
    add("refusal-proof-age-ms", with_default("0"),
        "node: refuses a request that its table does not allow only with a proof of at most this "
        "age that the table is current; 0: with any proof since the start");
}

/** Adds what the process may use for clients outside the system. */
void add_resource_options(po::options_description& options)
{
    auto add = options.add_options();
    const auto with_default = [](const char* value) {
        return po::value<std::string>()->default_value(value);
    };
    add("memory-limit-mb", with_default("512"),
        "memory that this process may use; it holds a quarter of it for clients at most");
    add("descriptor-limit", with_default("4096"),
        "descriptors that this process may use; its addresses for clients share them");
    add("body-timeout-ms", with_default("30000"),
        "longest gap between two parts of a request's body");
}

auto make_options() -> po::options_description
{
    po::options_description options(
        "Settings (each also as SYCAMOREWINCH_NAME in the environment)");
    auto add = options.add_options();
    const auto without_default = [] {
        return po::value<std::string>();
    };
    const auto empty_by_default = [] {
        return po::value<std::string>()->default_value("");
    };
    add("role", without_default(), "the role of this process: control, relay or node");
    add("name", without_default(), "the name of this process, unique in the system");
    add("zone", without_default(), "the availability zone of this process");
    add("listen-peers", without_default(), "IP:PORT to listen on for the system's other processes");
    add("listen-callers", without_default(), "node: IP:PORT to listen on for callers");
    add("listen-admin", without_default(),
        "IP:PORT to listen on for operators, metrics, health checks and targets");
    add("control-peers", empty_by_default(),
        "control: NAME=IP:PORT of every replica, separated by commas");
    add("upstreams", empty_by_default(),
        "relay, node: IP:PORT of processes to subscribe to, separated by commas");
    const auto with_default = [](const char* value) {
        return po::value<std::string>()->default_value(value);
    };
    add("control-seeds", empty_by_default(),
        "control: IP:PORT of some members of a group that manages its own membership");
    add("control-port", empty_by_default(),
        "the peer port of every control VM; replaces the ports in control-seeds and upstreams");
    add("found-group", with_default("no"),
        "control: yes: the replicas in control-seeds form a new group; only for their first start");
    add("tolerated-losses", with_default("1"), "control: disk losses tolerated at once, 1 to 5");
    add("control-heartbeat-ms", with_default("50"), "control: interval of the leader's heartbeats");
    add_proof_options(options);
    add("leave-notice-ms", with_default("0"),
        "node: on shutdown, how long it still serves requests while it reports not ready");
    add("shutdown-grace-s", empty_by_default(),
        "node: seconds from the request to shut down to the forced end of the process; calls still "
        "open shortly before it get their last answer; empty or 0: no limit");
    add("requests-ahead", with_default("0"),
        "node: requests sent to a target beyond its slots, to wait there for a slot, 0 to 100");
    add("prefer-own-zone", with_default("no"), "node: yes prefers targets in its own zone");
    add("interface", with_default("own"), "external interface: own (built-in, HTTP) or platform");
    add("interface-control", empty_by_default(),
        "platform: IP:PORT to listen on, role control: for operators, role node: for its target");
    add("interface-contracts", empty_by_default(),
        "platform: names of the parts of its rules that are in force, separated by commas");
    add("interface-ready", empty_by_default(),
        "platform, node: IP:PORT to listen on for readiness checks");
    add("own-target", empty_by_default(), "platform, node: IP:PORT of the target beside this node");
    add("own-service", empty_by_default(),
        "platform, node: service of the target beside this node");
    add("target-heartbeat-ms", with_default("1500"),
        "platform, node: interval between heartbeats of the server");
    add("trusted-network", with_default("no"),
        "yes: the operator ensures that only VMs of the system reach it; needs no key or token");
    add("settings-file", empty_by_default(), "file of lines NAME = VALUE; reloaded on a change");
    add("data-dir", empty_by_default(), "control: the data directory");
    add("cluster-key-file", empty_by_default(),
        "file with the secret that all processes share; without it, loopback addresses only");
    add("operator-token-file", empty_by_default(),
        "file with the bearer token of the operator API; without it, loopback addresses only");
    add("workers", po::value<std::string>()->default_value("1"),
        "node: threads that handle calls, 1 to 256");
    add_resource_options(options);
    add("log-level", po::value<std::string>()->default_value("info"),
        "lowest level that is logged: debug, info, warning or error");
    add("check-settings", "check the settings and exit");
    add("help", "show this help");
    add("version", "show the version");
    return options;
}

auto is_loopback(const peer_address& address) -> bool
{
    return QHostAddress(QString::fromStdString(address.host_)).isLoopback();
}

/** Requires a loopback address for listen-peers without a cluster key and for listen-admin without
 * an operator token, unless the network is trusted. */
void require_loopback_without_secrets(settings_reader& reader, const daemon_settings& settings)
{
    if (settings.is_network_trusted_) {
        return;
    }
    const auto check = [&reader](const char* name, const peer_address& address,
                                 const char* secret_setting) {
        if (!is_loopback(address)) {
            reader.reject(name, to_text(address),
                          fmt::format("must be a loopback address without {}", secret_setting));
        }
    };
    if (settings.cluster_key_file_.empty()) {
        check("listen-peers", settings.listen_peers_, "cluster-key-file");
    }
    if (settings.operator_token_file_.empty()) {
        check("listen-admin", settings.listen_admin_, "operator-token-file");
    }
}

/** listen-peers, listen-admin and listen-callers must be distinct. */
void check_distinct_listen_addresses(settings_reader& reader, const daemon_settings& settings)
{
    const auto peers = to_text(settings.listen_peers_);
    const auto admin = to_text(settings.listen_admin_);
    if (admin == peers) {
        reader.reject("listen-admin", admin, "must differ from listen-peers");
    }
    if (!settings.listen_callers_) {
        return;
    }
    const auto callers = to_text(*settings.listen_callers_);
    if (callers == peers || callers == admin) {
        reader.reject("listen-callers", callers, "must differ from listen-peers and listen-admin");
    }
}

/** Names and addresses of the replicas must each be unique. */
void check_unique_peers(settings_reader& reader, const std::vector<control_peer>& peers)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (const auto& peer : peers) {
        if (!names.insert(peer.name_).second || !addresses.insert(to_text(peer.address_)).second) {
            reader.reject("control-peers", fmt::format("{}={}", peer.name_, to_text(peer.address_)),
                          "names and addresses must be unique");
        }
    }
}

/** Returns \p addresses with their ports replaced by control-port, if that is set. */
auto with_control_port(settings_reader& reader, std::vector<peer_address> addresses)
    -> std::vector<peer_address>
{
    constexpr unsigned max_port = 65'535;
    if (!reader.optional_text("control-port").empty()) {
        const auto port = static_cast<std::uint16_t>(reader.number("control-port", max_port));
        for (auto& address : addresses) {
            address.port_ = port;
        }
    }
    return addresses;
}

constexpr unsigned max_tolerated_losses = 5;
constexpr unsigned max_requests_ahead = 100;
constexpr unsigned max_duration_ms = 60'000;
constexpr double max_shutdown_grace_s = 3'600;
constexpr unsigned min_memory_limit_mb = 16;
constexpr unsigned max_memory_limit_mb = 1'024 * 1'024;
constexpr unsigned min_descriptor_limit = 64;
constexpr unsigned max_descriptor_limit = 1'024 * 1'024;
constexpr unsigned max_body_timeout_ms = 3'600'000;

void read_control_settings(settings_reader& reader, daemon_settings& settings)
{
    settings.control_heartbeat_ = reader.milliseconds("control-heartbeat-ms", max_duration_ms);
    settings.control_seeds_ = with_control_port(reader, reader.addresses("control-seeds"));
    if (!settings.control_seeds_.empty()) {
        settings.founds_group_ = reader.boolean("found-group");
        settings.tolerated_losses_ = reader.number("tolerated-losses", max_tolerated_losses);
        settings.data_dir_ = reader.text("data-dir");
        return;
    }
    settings.control_peers_ = reader.peers("control-peers");
    check_unique_peers(reader, settings.control_peers_);
    settings.data_dir_ = reader.text("data-dir");
    if (std::ranges::find(settings.control_peers_, settings.name_, &control_peer::name_) ==
        settings.control_peers_.end()) {
        reader.reject("control-peers", reader.optional_text("control-peers"),
                      fmt::format("must include this replica, '{}'", settings.name_));
    }
}

void read_subscriber_settings(settings_reader& reader, daemon_settings& settings)
{
    settings.upstreams_ = with_control_port(reader, reader.addresses("upstreams"));
    if (settings.upstreams_.empty()) {
        reader.reject("upstreams", "", "must contain at least one IP:PORT");
    }
    if (settings.role_ == daemon_role::node) {
        settings.listen_callers_ = reader.address("listen-callers");
        settings.workers_ = reader.number("workers", max_workers);
        settings.prefers_own_zone_ = reader.boolean("prefer-own-zone");
        settings.refusal_proof_age_ =
            std::chrono::milliseconds(reader.number("refusal-proof-age-ms", max_duration_ms, 0));
        settings.leave_notice_ =
            std::chrono::milliseconds(reader.number("leave-notice-ms", max_duration_ms, 0));
        settings.shutdown_grace_ =
            reader.optional_seconds("shutdown-grace-s", max_shutdown_grace_s);
        settings.requests_ahead_ = reader.number("requests-ahead", max_requests_ahead, 0);
        settings.proof_period_ = reader.milliseconds("proof-period-ms", max_duration_ms);
        settings.proof_timeout_ = reader.milliseconds("proof-timeout-ms", max_duration_ms);
    }
}

void read_resource_settings(settings_reader& reader, daemon_settings& settings)
{
    constexpr std::uint64_t bytes_in_mb = 1024ULL * 1024;
    if (!reader.optional_text("memory-limit-mb").empty()) {
        settings.memory_limit_bytes_ =
            bytes_in_mb *
            reader.number("memory-limit-mb", max_memory_limit_mb, min_memory_limit_mb);
    }
    if (!reader.optional_text("descriptor-limit").empty()) {
        settings.descriptor_limit_ =
            reader.number("descriptor-limit", max_descriptor_limit, min_descriptor_limit);
    }
    settings.body_timeout_ = reader.milliseconds("body-timeout-ms", max_body_timeout_ms);
}

void read_interface_settings(settings_reader& reader, daemon_settings& settings)
{
    const auto text = reader.text("interface");
    const auto interface = interface_names.parse(text);
    if (!interface) {
        reader.reject("interface", text, "must be own or platform");
        return;
    }
    settings.interface_ = *interface;
    if (settings.interface_ == external_interface_kind::own ||
        settings.role_ == daemon_role::relay) {
        return;
    }
    settings.interface_control_ = reader.address("interface-control");
    settings.interface_contracts_ = reader.optional_text("interface-contracts");
    if (settings.role_ == daemon_role::node) {
        settings.interface_ready_ = reader.address("interface-ready");
        settings.own_target_ = reader.optional_address("own-target");
        settings.own_service_ = reader.text("own-service");
        settings.target_heartbeat_ = reader.milliseconds("target-heartbeat-ms", max_duration_ms);
    }
}

auto read_settings(const po::variables_map& values) -> result<daemon_settings>
{
    settings_reader reader(values);
    daemon_settings settings;
    const auto role_text = reader.text("role");
    const auto role = role_names.parse(role_text);
    if (!role) {
        reader.reject("role", role_text, "must be control, relay or node");
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
        reader.reject("log-level", level_text, "must be debug, info, warning or error");
    }
    settings.log_level_ = level.value_or(log_level::info);
    settings.is_network_trusted_ = reader.boolean("trusted-network");
    settings.settings_file_ = reader.optional_text("settings-file");
    read_interface_settings(reader, settings);
    read_resource_settings(reader, settings);
    if (settings.role_ == daemon_role::control) {
        read_control_settings(reader, settings);
    }
    else {
        read_subscriber_settings(reader, settings);
    }
    require_loopback_without_secrets(reader, settings);
    check_distinct_listen_addresses(reader, settings);
    if (reader.first_error()) {
        return tl::unexpected(*reader.first_error());
    }
    return settings;
}

/** Returns the environment variable that holds the setting \p name. */
auto variable_name_for(const std::string& name) -> std::string
{
    std::string variable(environment_prefix);
    for (const char character : name) {
        const auto upper = std::toupper(static_cast<unsigned char>(character));
        variable.push_back(character == '-' ? '_' : static_cast<char>(upper));
    }
    return variable;
}

void store_arguments(const po::options_description& options,
                     const std::vector<std::string>& arguments, po::variables_map& values)
{
    const po::positional_options_description no_positional_options;
    constexpr int unabbreviated_style = static_cast<int>(po::command_line_style::unix_style) &
                                        ~static_cast<int>(po::command_line_style::allow_guessing);
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(no_positional_options)
                  .style(unabbreviated_style)
                  .run(),
              values);
}

void store_environment(const po::options_description& options,
                       const environment_lookup& environment, po::variables_map& values)
{
    po::parsed_options parsed(&options);
    for (const auto& option : options.options()) {
        const auto& name = option->long_name();
        const auto value = environment(variable_name_for(name));
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

auto process_environment() -> environment_lookup
{
    return [](const std::string& name) -> std::optional<std::string> {
        const auto* value = std::getenv(name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
}

auto setting_variable_names() -> std::vector<std::string>
{
    std::vector<std::string> names;
    const auto options = make_options();
    for (const auto& option : options.options()) {
        if (option->semantic()->max_tokens() > 0) {
            names.push_back(variable_name_for(option->long_name()));
        }
    }
    return names;
}

auto read_settings_file(const std::vector<std::string>& arguments,
                        const environment_lookup& environment) -> result<std::string>
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
                           const environment_lookup& environment) -> result<parsed_settings>
{
    const auto options = make_options();
    po::variables_map values;
    try {
        const auto file = read_settings_file(arguments, environment);
        if (!file) {
            return tl::unexpected(file.error());
        }
        // Arguments take precedence over the environment, and that over the file.
        store_arguments(options, arguments, values); // store() keeps the first value
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
