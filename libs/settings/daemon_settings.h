/** \file
 * The settings of the daemon, read from flags, environment variables and a settings file.
 *
 * A setting has the same name in all three: the flag `--listen-peers`, the variable
 * `SYCAMOREWINCH_LISTEN_PEERS` and the line `listen-peers = ...` of the file. A flag overrides a
 * variable, and a variable overrides the file. The error for an invalid setting is one line with
 * its name, its value and what is allowed.
 */
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "observability/log.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** The role of a daemon process. */
enum class daemon_role : std::uint8_t { control, relay, node };

/** Returns the name of \p role. */
[[nodiscard]] auto name_of(daemon_role role) -> std::string_view;

/** The interface for clients outside the system. */
enum class external_interface_kind : std::uint8_t {
    own,      ///< The built-in HTTP API.
    platform, ///< The API of the deployment platform; see platform/.
};

/** A replica of the control group. */
struct control_peer {
    std::string name_;
    peer_address address_;
};

/** The validated settings of one daemon process. "Platform" marks those that apply only with
 * the setting `interface = platform`. */
struct daemon_settings {
    daemon_role role_ = daemon_role::node;
    std::string name_;
    std::string availability_zone_;
    peer_address listen_peers_;                  ///< HTTP/2, for other processes of the system.
    std::optional<peer_address> listen_callers_; ///< Node: HTTP/1.1, for callers.
    /** HTTP, for operators, metrics, health checks and target announcements. */
    peer_address listen_admin_;
    std::vector<control_peer> control_peers_; ///< Control: all replicas, including this one.
    /** Control: some members of a group that manages its own membership. */
    std::vector<peer_address> control_seeds_;
    bool founds_group_ = false;     ///< Control: the first start of the seeds forms a new group.
    unsigned tolerated_losses_ = 1; ///< Control: simultaneous disk losses to tolerate.
    /** Control: interval between heartbeats of the leader. */
    std::chrono::milliseconds control_heartbeat_{50};
    std::vector<peer_address> upstreams_;           ///< Relay and node: publishers to subscribe to.
    std::chrono::milliseconds proof_period_{2'000}; ///< Node: interval between proofs of currency.
    /** Node: time without a proof of currency after which it changes its upstream. */
    std::chrono::milliseconds proof_timeout_{8'000};
    /** Node: the oldest proof of currency on which it refuses a request that its table does not
     * allow; zero: any proof since the start. */
    std::chrono::milliseconds refusal_proof_age_{0};
    /** Node: on shutdown, how long it still serves calls while it reports not ready. */
    std::chrono::milliseconds leave_notice_{0};
    /** Node: from the request to shut down to the forced end of the process; zero: no limit. */
    std::chrono::milliseconds shutdown_grace_{0};
    /** Node: requests sent beyond the slots of a target, so that no slot is idle. */
    unsigned requests_ahead_ = 0;
    bool prefers_own_zone_ = false; ///< Node: prefers targets in its own zone.
    external_interface_kind interface_ = external_interface_kind::own;
    /** Platform: listens here for operators (control) or for the server beside it (node). */
    std::optional<peer_address> interface_control_;
    /** Platform: names of the parts of its rules that are in force, separated by commas. */
    std::string interface_contracts_;
    std::optional<peer_address> interface_ready_; ///< Platform, node: for readiness checks.
    std::optional<peer_address> own_target_;      ///< Platform, node: the server beside this node.
    std::string own_service_;                     ///< Platform, node: the service of that server.
    /** Platform, node: interval between heartbeats of that server. */
    std::chrono::milliseconds target_heartbeat_{1'500};
    /** Only the system's own VMs can reach its addresses, so no key or token is needed. */
    bool is_network_trusted_ = false;
    std::string settings_file_;
    std::string data_dir_; ///< Control: the data directory.
    std::string cluster_key_file_;
    std::string operator_token_file_;
    unsigned workers_ = 1; ///< Node: threads that handle calls.
    /** Memory that the process may use. A part of it is what it holds for clients at most. */
    std::uint64_t memory_limit_bytes_ = 512ULL * 1024 * 1024;
    unsigned descriptor_limit_ = 4'096; ///< Descriptors that the process may use.
    /** Longest gap between two reads of the body of a request from outside the system. */
    std::chrono::milliseconds body_timeout_{30'000};
    log_level log_level_ = log_level::info;
};

/** The action that the command line selects. */
enum class settings_action : std::uint8_t { run, check_only, show_help, show_version };

/** The result of parsing the settings. */
struct parsed_settings {
    settings_action action_ = settings_action::run;
    daemon_settings settings_;
    std::string help_; ///< The help text; set for show_help only.
};

/** Looks up an environment variable; returns nothing when it is not set. */
using environment_lookup = std::function<std::optional<std::string>(const std::string& name)>;

/** Returns a lookup in the environment of this process. */
[[nodiscard]] auto process_environment() -> environment_lookup;

/** Returns the environment variables that the daemon reads as settings. */
[[nodiscard]] auto setting_variable_names() -> std::vector<std::string>;

/** Returns the contents of the settings file named by \p arguments or \p environment, or an empty
 * string when neither names one. */
[[nodiscard]] auto read_settings_file(const std::vector<std::string>& arguments,
                                      const environment_lookup& environment) -> result<std::string>;

/** Parses and validates the settings from flags, environment and settings file. */
[[nodiscard]] auto parse_daemon_settings(const std::vector<std::string>& arguments,
                                         const environment_lookup& environment)
    -> result<parsed_settings>;

} // namespace sycamorewinch
