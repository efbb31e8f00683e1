/** \file
 * Where log lines go out without ever waiting for whoever reads them.
 *
 * A pipe whose reader has stopped would hold the process for good. A line goes out only when the
 * descriptor takes it whole at once; otherwise it is left out and counted, and once there is room
 * again a line `log_lines_lost` says how many there were.
 */
#pragma once

#include <memory>

namespace spdlog::sinks {
class sink;
} // namespace spdlog::sinks

namespace sycamorewinch {

/** Returns a sink that writes to \p descriptor, which stays open. Safe from any thread. Lines
 * longer than a pipe takes at once (4096 bytes) are left out. */
[[nodiscard]] auto make_ready_sink(int descriptor) -> std::shared_ptr<spdlog::sinks::sink>;

} // namespace sycamorewinch
