/** \file
 * A real process that the soak starts, signals and starts again. It only ever ends processes that
 * it started itself, by their ids.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/result.h"

class QProcess;

namespace sycamorewinch {

/** What to run. */
struct child_command {
    std::string program_;
    std::vector<std::string> arguments_;
    std::string log_file_; ///< Gets standard output and error, appended.
};

/** One process, started again as often as wanted. */
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

    /** Stops it for as long as it is paused, without its noticing. */
    void pause();
    void resume();
    /** Ends it at once and waits until it is gone. */
    void kill();
    /** Asks it to end; it may take a while. */
    void terminate();
    [[nodiscard]] auto is_running() const -> bool;
    /** Starts it again if it has ended, or once it has if it was asked to end. */
    [[nodiscard]] auto start_again() -> result<void>;

  private:
    explicit child_process(child_command command);
    void signal(int number) const;

    child_command command_;
    std::unique_ptr<QProcess> process_;
    bool is_ending_ = false;       ///< Asked to end.
    bool is_wanted_again_ = false; ///< To be started once it has ended.
};

} // namespace sycamorewinch
