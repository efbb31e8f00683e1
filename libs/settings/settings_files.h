/** \file
 * Checks the files and folders that the settings name, before anything is started.
 */
#pragma once

#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** Returns an error that names the first setting whose file cannot be used: a key or token file
 * that cannot be read or is too short, a data folder that cannot be made or written. */
[[nodiscard]] auto check_setting_files(const daemon_settings& settings) -> result<void>;

/** Returns those of \p variables (names of environment variables) that start with SYCAMOREWINCH_
 * and are no setting of this release, neither the daemon's nor the operators' tool's. */
[[nodiscard]] auto unknown_variables(const std::vector<std::string>& variables)
    -> std::vector<std::string>;

/** Returns the names of the process's environment variables. */
[[nodiscard]] auto process_variables() -> std::vector<std::string>;

} // namespace sycamorewinch
