/** \file
 * What the daemon's roles offer to an interface for the world outside the system.
 *
 * The product's own interface is built in. Another one, such as platform/, is handed to the roles
 * by hooks and reaches them by these ports alone.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/control_replica.h"
#include "daemon/target_registry.h"
#include "request_path/header_mapping.h"
#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** What a control process offers. The hooks stay valid as long as the role. */
struct control_api {
    std::function<bool()> is_leader_;
    /** Returns the host of the leader as far as known, else an empty string. */
    std::function<std::string()> leader_host_;
    std::function<const replicated_state&()> state_;
    /** Returns why the group cannot accept edits yet, or nothing. */
    std::function<std::optional<error>()> not_ready_reason_;
    std::function<void(const accept_command& command, accept_callback callback)> accept_;
    std::function<void(proof_callback callback)> prove_current_;
};

/** What a node offers. The hooks stay valid as long as the role. */
struct node_api {
    std::function<bool()> is_ready_;
    /** Takes what the server beside the node says of itself. */
    std::function<result<void>(const target_announcement& announcement)> announce_target_;
    /** The server called so takes no work from now on. */
    std::function<void(const std::string& target)> withdraw_target_;
};

/** An interface beside the product's own; unset hooks are not there. What the serving hooks return
 * lives as long as the role. */
struct external_interfaces {
    std::optional<header_mapping> header_mapping_;
    std::function<result<std::shared_ptr<void>>(const control_api& port)> serve_control_;
    std::function<result<std::shared_ptr<void>>(const node_api& port)> serve_node_;
};

} // namespace sycamorewinch
