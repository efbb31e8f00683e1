/** \file
 * The settings of the daemon, from flags, environment variables and a file, under the same names.
 *
 * The flag `--listen-peers`, the variable `SYCAMOREWINCH_LISTEN_PEERS` and the line
 * `listen-peers = ...` of the settings file are one setting; the flag wins, then the variable. A
 * wrong setting gives one line that names it, its value and what is allowed.
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

/** What a daemon process does. */
enum class daemon_role : std::uint8_t { control, relay, node };

/** Returns the name of \p role. */
[[nodiscard]] auto name_of(daemon_role role) -> std::string_view;

/** Who the daemon speaks with from outside the system, and how. */
enum class outer_interface : std::uint8_t {
    own,      ///< The product's own HTTP interface.
    platform, ///< The users' platform; see platform/.
};

/** One replica of the control group. */
struct control_peer {
    std::string name_;
    peer_address address_;
};

/** The checked settings of one daemon process. */
struct daemon_settings {
    daemon_role role_ = daemon_role::node;
    std::string name_;
    std::string availability_zone_;
    peer_address listen_peers_;                  ///< HTTP/2 from other processes of the system.
    std::optional<peer_address> listen_callers_; ///< Node: HTTP/1.1 from callers.
    peer_address listen_admin_;               ///< HTTP: operators, metrics, health, announcements.
    std::vector<control_peer> control_peers_; ///< Control: all replicas, this one included.
    std::vector<peer_address> control_seeds_; ///< Control: some VMs of a group that may change.
    bool founds_group_ = false;     ///< Control: the first start of all, by the seeds together.
    unsigned tolerated_losses_ = 1; ///< Control: disks that may be lost at once.
    std::chrono::milliseconds control_heartbeat_{50}; ///< Control: between a leader's heartbeats.
    std::vector<peer_address> upstreams_;             ///< Relay and node: where to subscribe.
    std::chrono::milliseconds proof_period_{2'000};   ///< Node: between two proofs of currency.
    std::chrono::milliseconds proof_timeout_{8'000};  ///< Node: without a proof, another upstream.
    /** Node: asked to end, it goes on taking calls for so long, while it says it is not ready. */
    std::chrono::milliseconds leave_notice_{0};
    unsigned requests_ahead_ = 0;   ///< Node: sent beyond a target's slots, so that none idles.
    bool prefers_own_zone_ = false; ///< Node: targets of the own zone are chosen first.
    outer_interface interface_ = outer_interface::own;
    std::optional<peer_address> interface_control_;     ///< Platform: operators, or the own server.
    std::optional<peer_address> interface_ready_;       ///< Platform, node: readiness.
    std::optional<peer_address> own_target_;            ///< Platform, node: the server beside it.
    std::string own_service_;                           ///< Platform, node: that server's service.
    std::chrono::milliseconds target_heartbeat_{1'500}; ///< Platform, node: between announcements.
    bool is_network_trusted_ = false; ///< Only the system's own VMs reach its addresses.
    std::string settings_file_;
    std::string data_dir_; ///< Control: the data folder.
    std::string cluster_key_file_;
    std::string operator_token_file_;
    unsigned workers_ = 1; ///< Node: threads that carry calls.
    log_level log_level_ = log_level::info;
};

/** What the command line asks for. */
enum class settings_action : std::uint8_t { run, check_only, show_help, show_version };

/** The outcome of reading the settings. */
struct parsed_settings {
    settings_action action_ = settings_action::run;
    daemon_settings settings_;
    std::string help_; ///< For show_help.
};

/** Looks up an environment variable; returns nothing when it is not set. */
using environment_hook = std::function<std::optional<std::string>(const std::string& name)>;

/** Reads the process's environment. */
[[nodiscard]] auto process_environment() -> environment_hook;

/** Returns the names of the environment variables that are settings of the daemon. */
[[nodiscard]] auto setting_variables() -> std::vector<std::string>;

/** Returns the contents of the settings file that \p arguments or \p environment name; empty when
 * they name none. */
[[nodiscard]] auto read_settings_file(const std::vector<std::string>& arguments,
                                      const environment_hook& environment) -> result<std::string>;

/** Reads and checks the settings. */
[[nodiscard]] auto parse_daemon_settings(const std::vector<std::string>& arguments,
                                         const environment_hook& environment)
    -> result<parsed_settings>;

} // namespace sycamorewinch
