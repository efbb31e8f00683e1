/** \file
 * Dispatch of the command line to the operators' commands, and the texts of `--help`. Each command
 * returns the exit status of the process.
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

/** Runs the command that \p words start with, such as `table show`; the rest are its arguments.
 * Returns `wrong_arguments` for an unknown command or a wrong number of arguments. */
[[nodiscard]] auto run_command(command_context& context, const std::vector<std::string>& words)
    -> exit_status;

/** Returns the list of commands for the help text. */
[[nodiscard]] auto command_help() -> std::string;

/** Returns the list of exit statuses for the help text. */
[[nodiscard]] auto exit_status_help() -> std::string;

} // namespace sycamorewinch
