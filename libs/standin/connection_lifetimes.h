/** \file
 * Measures how long a server keeps connections open, for tests of its timeouts.
 */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace sycamorewinch {

/** Opens connections to 127.0.0.1 and \p port one after another, at even steps over half a second,
 * since Qt rounds timers to parts of a second. Writes \p bytes on each one, waits until the server
 * has closed all of them, and returns the time from each dial to its close. */
[[nodiscard]] auto measure_connection_lifetimes(std::uint16_t port, std::string_view bytes)
    -> std::vector<duration>;

} // namespace sycamorewinch
