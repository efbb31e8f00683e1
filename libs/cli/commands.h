/** \file
 * The operators' commands. Each returns the process's exit status.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "cli/control_client.h"

namespace sycamorewinch {

/** The exit statuses of the operators' tool. */
enum class exit_status : int {
    done = 0,
    failed = 1, ///< The control group refused or could not be reached.
    wrong_arguments = 2,
    conflict = 3,     ///< Another operator's version came first.
    bad_table = 4,    ///< The table has findings.
    not_in_force = 5, ///< watch gave up before the version was in force everywhere.
};

/** What every command works with. */
struct command_context {
    control_client& client_;
    std::ostream& out_;
    std::ostream& errors_;
    bool json_ = false;
    std::string operator_; ///< Name for the history.
};

/** Runs the command that \p words name, such as `table show`. */
[[nodiscard]] auto run_command(command_context& context, const std::vector<std::string>& words)
    -> exit_status;

/** Returns the list of commands for the help text. */
[[nodiscard]] auto command_help() -> std::string;

} // namespace sycamorewinch
