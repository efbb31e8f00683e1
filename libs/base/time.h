/** \file
 * Time as the decision logic sees it: microseconds on a clock that is passed in, so that tests run
 * under virtual time.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace sycamorewinch {

/** A span of time in microseconds. */
using duration = std::chrono::duration<std::int64_t, std::micro>;

/** The clock of one process: monotonic, with an arbitrary start. */
struct process_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<process_clock, duration>;
    static constexpr bool is_steady = true;
};

/** A point on the process's monotonic clock. It means nothing to another process. */
using instant = process_clock::time_point;

/** Returns the current instant; replaced by virtual time in tests. */
using clock_hook = std::function<instant()>;

/** Reads the operating system's monotonic clock. */
[[nodiscard]] auto monotonic_now() -> instant;

/** Returns \p span in whole milliseconds. */
[[nodiscard]] constexpr auto to_milliseconds(duration span) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/** Returns \p span in seconds. */
[[nodiscard]] constexpr auto to_seconds(duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

} // namespace sycamorewinch
