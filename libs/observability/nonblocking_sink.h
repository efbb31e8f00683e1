/** \file
 * A log sink that never blocks on the reader of the log.
 *
 * A blocking write to a pipe whose reader has stalled would hang the process. The sink writes a
 * line only when the descriptor accepts all of it at once; otherwise it drops and counts the line.
 * Before the next line that can be written it writes a line `log_lines_lost` with that count.
 */
#pragma once

#include <memory>

namespace spdlog::sinks {
class sink;
} // namespace spdlog::sinks

namespace sycamorewinch {

/** Returns a sink that writes to \p descriptor and does not close it. Thread-safe. Lines longer
 * than the atomic write size of a pipe (PIPE_BUF, 4096 bytes) are dropped. */
[[nodiscard]] auto make_nonblocking_sink(int descriptor) -> std::shared_ptr<spdlog::sinks::sink>;

} // namespace sycamorewinch
