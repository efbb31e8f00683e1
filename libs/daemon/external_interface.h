/** \file
 * The API between the daemon's roles and an external interface.
 *
 * The product's own interface is built in. An additional one, such as platform/, is passed to the
 * roles as hooks and accesses them only through the types here.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/control_replica.h"
#include "daemon/rollout_service.h"
#include "daemon/target_registry.h"
#include "policy/path_index.h"
#include "request_path/header_mapping.h"
#include "resources/resource_guard.h"
#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** Returns a guard for the clients of one more address, named \p name in logs and metrics. Unset:
 * what they hold is not limited. */
using guard_factory = std::function<std::unique_ptr<resource_guard>(const std::string& name)>;

/** What a control process offers to an external interface. The hooks are valid for the lifetime of
 * the role. */
struct control_api {
    std::function<bool()> is_leader_;
    /** Returns the leader's host, or an empty string if it is unknown. */
    std::function<std::string()> leader_host_;
    std::function<const replicated_state&()> state_;
    /** Returns why the group cannot accept edits yet, or nothing if it can. */
    std::function<std::optional<error>()> not_ready_reason_;
    std::function<void(const accept_command& command, accept_callback callback)> accept_;
    std::function<void(proof_callback callback)> prove_current_;
    std::function<void(const rollout_order& order, order_callback callback)> order_rollout_;
    std::function<void(const std::string& service, rollout_read_callback callback)> read_rollout_;
    /** To be called for each configuration that the interface rejects as invalid or unsupported. */
    std::function<void(error_kind reason)> count_rejected_config_;
    guard_factory make_guard_;
};

/** What a node offers to an external interface. The hooks are valid for the lifetime of the role.
 */
struct node_api {
    std::function<bool()> is_ready_;
    /** Registers the target beside the node, or renews its lease. */
    std::function<result<void>(const target_announcement& announcement)> announce_target_;
    /** Stops sending work to the target named \p target. */
    std::function<void(const std::string& target)> withdraw_target_;
    guard_factory make_guard_;
};

/** An interface besides the built-in one; unset members are not provided. The role owns the objects
 * that the serve hooks return. */
struct external_interfaces {
    std::optional<header_mapping> header_mapping_;
    /** How the path prefixes of the table match at a node. */
    prefix_match prefix_match_ = prefix_match::segment;
    std::function<result<std::shared_ptr<void>>(const control_api& api)> serve_control_;
    std::function<result<std::shared_ptr<void>>(const node_api& api)> serve_node_;
};

} // namespace sycamorewinch
