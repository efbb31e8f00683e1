/** \file
 * Watches the settings file: read again when it changes, and when asked to.
 */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <QTimer>

#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** Reads the settings again when their file changes. Without a file it watches nothing. */
class settings_watcher {
  public:
    /** \p on_change gets settings that differ in text from those before and are good; wrong ones
     * are logged, and what is in force stays. */
    settings_watcher(std::vector<std::string> arguments, environment_hook environment,
                     std::function<void(const daemon_settings& settings)> on_change);

    /** Reads the file now. */
    void check();

  private:
    std::vector<std::string> arguments_;
    environment_hook environment_;
    std::function<void(const daemon_settings& settings)> on_change_;
    std::string seen_;
    QTimer timer_;
};

} // namespace sycamorewinch
