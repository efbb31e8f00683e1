/** \file
 * Captures what a function writes to standard output, for tests of log lines.
 */
#pragma once

#include <functional>

#include <QByteArray>

namespace sycamorewinch {

/** Returns what the process writes to standard output while \p run runs. */
[[nodiscard]] auto capture_standard_output(const std::function<void()>& run) -> QByteArray;

} // namespace sycamorewinch
