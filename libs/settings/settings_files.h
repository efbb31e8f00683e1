/** \file
 * Checks, before the daemon starts, the files and directories that the settings name.
 */
#pragma once

#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** Returns an error that names the first setting whose file cannot be used: a key or token file
 * that is unreadable or too short, or a data directory that cannot be created or written. */
[[nodiscard]] auto check_setting_files(const daemon_settings& settings) -> result<void>;

/** Returns those of \p variables (names of environment variables) that start with SYCAMOREWINCH_
 * but are neither settings of the daemon nor read by another program of this release. */
[[nodiscard]] auto find_unknown_variables(const std::vector<std::string>& variables)
    -> std::vector<std::string>;

/** Returns the names of the process's environment variables. */
[[nodiscard]] auto environment_variable_names() -> std::vector<std::string>;

} // namespace sycamorewinch
