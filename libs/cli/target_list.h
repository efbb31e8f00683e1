/** \file
 * The targets that the control group knows, and the nodes beside them, for commands that go to the
 * nodes themselves.
 */
#pragma once

#include <string>
#include <vector>

#include "cli/command_context.h"

namespace sycamorewinch {

/** One known target. */
struct known_target {
    std::string service_;
    std::string target_;
    std::string node_;  ///< Where the node beside it takes calls from other nodes.
    std::string admin_; ///< Where that node takes operators' requests.
};

/** Reads the targets that are not gone. */
[[nodiscard]] auto fetch_targets(command_context& context) -> result<std::vector<known_target>>;

} // namespace sycamorewinch
