/** \file
 * Starting, reloading and stopping the roles of the daemon (control, relay, node).
 */
#pragma once

#include <functional>
#include <memory>

#include "daemon/external_interface.h"
#include "settings/daemon_settings.h"
#include "transport/cluster_key.h"

namespace sycamorewinch {

/** A running role. Destroying it stops the role immediately. */
struct running_role {
    /** Applies the settings that may change at run time; see docs/SETTINGS.md. */
    std::function<void(const daemon_settings& settings)> reload_;
    /** Shuts down gracefully, then calls \p done. */
    std::function<void(std::function<void()> done)> shut_down_;
    std::shared_ptr<void> owned_role_; ///< Keeps the role object alive.
};

/** The secrets from the files named in the settings. */
struct daemon_secrets {
    cluster_key key_;
    std::string operator_token_;
};

/** Reads the secrets. Without a key file it uses a fixed key; the process then listens on loopback
 * addresses only, unless the settings declare the network trusted. */
[[nodiscard]] auto read_secrets(const daemon_settings& settings) -> result<daemon_secrets>;

[[nodiscard]] auto start_control_role(const daemon_settings& settings,
                                      const daemon_secrets& secrets,
                                      const external_interfaces& interfaces = {})
    -> result<running_role>;
[[nodiscard]] auto start_relay_role(const daemon_settings& settings, const daemon_secrets& secrets)
    -> result<running_role>;
[[nodiscard]] auto start_node_role(const daemon_settings& settings, const daemon_secrets& secrets,
                                   const external_interfaces& interfaces = {})
    -> result<running_role>;

/** Starts the role selected by the settings. */
[[nodiscard]] auto start_role(const daemon_settings& settings, const daemon_secrets& secrets,
                              const external_interfaces& interfaces = {}) -> result<running_role>;

} // namespace sycamorewinch
