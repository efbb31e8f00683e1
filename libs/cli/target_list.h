/** \file
 * The targets known to the control group, with the addresses of their nodes, for commands that send
 * requests to the nodes directly.
 */
#pragma once

#include <string>
#include <vector>

#include "cli/command_context.h"

namespace sycamorewinch {

/** A target known to the control group. */
struct known_target {
    std::string service_;
    std::string target_;
    std::string node_;  ///< Address at which its node accepts calls from other nodes.
    std::string admin_; ///< Admin address of its node; may be empty.
};

/** Reads the known targets from the leader, without those in state `gone`. */
[[nodiscard]] auto fetch_targets(command_context& context) -> result<std::vector<known_target>>;

} // namespace sycamorewinch
