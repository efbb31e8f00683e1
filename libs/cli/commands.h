/** \file
 * The operators' commands. Each returns the process's exit status.
 *
 * \code
 * run_command(context, {"table", "set", "dialer", "rate", "50"});
 * \endcode
 */
#pragma once

#include <string>
#include <vector>

#include "cli/command_context.h"

namespace sycamorewinch {

/** Runs the command that \p words name, such as `table show`. */
[[nodiscard]] auto run_command(command_context& context, const std::vector<std::string>& words)
    -> exit_status;

/** Returns the list of commands for the help text. */
[[nodiscard]] auto command_help() -> std::string;

/** Returns the list of exit statuses for the help text. */
[[nodiscard]] auto exit_status_help() -> std::string;

} // namespace sycamorewinch
