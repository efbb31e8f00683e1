/** \file
 * Reloads the settings file when it changes or on request.
 */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <QTimer>

#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** Polls the settings file and reloads it when it changes. Does nothing if there is no file. */
class settings_watcher {
  public:
    /** Calls \p on_change with new settings when the text of the file has changed and is valid.
     * Invalid settings are logged and the current ones stay in force. */
    settings_watcher(std::vector<std::string> arguments, environment_lookup environment,
                     std::function<void(const daemon_settings& settings)> on_change);

    /** Checks the file immediately. */
    void check();

  private:
    std::vector<std::string> arguments_;
    environment_lookup environment_;
    std::function<void(const daemon_settings& settings)> on_change_;
    std::string last_text_;
    QTimer timer_;
};

} // namespace sycamorewinch
