/** \file
 * A process that the soak test starts, signals and restarts. Only processes started here are
 * signalled, by their process id.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"

class QProcess;

namespace sycamorewinch {

/** The command to run. */
struct child_command {
    std::string program_;
    std::vector<std::string> arguments_;
    std::string log_file_;                      ///< Standard output and error are appended here.
    std::vector<std::string> environment_ = {}; ///< NAME=VALUE, added to that of this process.
};

/** One process, which can be restarted any number of times. */
class child_process {
  public:
    [[nodiscard]] static auto start(child_command command)
        -> result<std::unique_ptr<child_process>>;
    child_process(const child_process&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    child_process(child_process&&) = delete;
    auto operator=(child_process&&) -> child_process& = delete;
    /** Kills the process. */
    ~child_process();

    /** Suspends the process (SIGSTOP) until resume(). */
    void pause();
    void resume();
    /** Kills the process (SIGKILL) and waits until it has exited. */
    void kill();
    /** Asks the process to exit (SIGTERM) and returns without waiting. */
    void terminate();
    [[nodiscard]] auto is_running() const -> bool;
    /** Returns the process id, or 0 if the process is not running. */
    [[nodiscard]] auto process_id() const -> std::int64_t;
    /** Returns whether the process was asked to exit and still runs. */
    [[nodiscard]] auto is_terminating() const -> bool { return is_terminating_; }
    /** Starts the process if it is not running. After terminate(), starts it once it has exited. */
    [[nodiscard]] auto restart() -> result<void>;

  private:
    explicit child_process(child_command command);
    void signal(int number) const;

    child_command command_;
    std::unique_ptr<QProcess> process_;
    bool is_terminating_ = false;     ///< SIGTERM was sent.
    bool restart_after_exit_ = false; ///< Start it again once it has exited.
};

} // namespace sycamorewinch
