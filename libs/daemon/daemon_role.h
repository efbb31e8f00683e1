/** \file
 * What every role of the daemon offers to the program around it.
 */
#pragma once

#include <functional>
#include <memory>

#include "daemon/external_interface.h"
#include "settings/daemon_settings.h"
#include "transport/cluster_key.h"

namespace sycamorewinch {

/** A running role. Destroying it ends it at once. */
struct running_role {
    /** Takes the settings that may change while it runs; see docs/SETTINGS.md. */
    std::function<void(const daemon_settings& settings)> reload_;
    /** Ends gracefully, then calls \p done. */
    std::function<void(std::function<void()> done)> shut_down_;
    std::shared_ptr<void> keeps_; ///< What the role is made of.
};

/** The secrets read from the files that the settings name. */
struct daemon_secrets {
    cluster_key key_;
    std::string operator_token_;
};

/** Reads the secrets. Without a key file, a fixed key that only loopback addresses may use. */
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

/** Starts the role that the settings name. */
[[nodiscard]] auto start_role(const daemon_settings& settings, const daemon_secrets& secrets,
                              const external_interfaces& interfaces = {}) -> result<running_role>;

} // namespace sycamorewinch
