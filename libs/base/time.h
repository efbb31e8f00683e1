/** \file
 * Time types of the project: microseconds on a monotonic clock that is injected, so that tests run
 * in virtual time.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace sycamorewinch {

/** A duration in microseconds. */
using duration = std::chrono::duration<std::int64_t, std::micro>;

/** The monotonic clock of a process, with an arbitrary epoch. */
struct process_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<process_clock, duration>;
    static constexpr bool is_steady = true;
};

/** A point in time on the process's monotonic clock; not comparable between processes. */
using instant = process_clock::time_point;

/** A function that returns the current instant; tests inject virtual time. */
using clock_hook = std::function<instant()>;

/** Reads the operating system's monotonic clock that also counts the time in which the machine is
 * suspended. */
[[nodiscard]] auto monotonic_now() -> instant;

/** Returns \p span in whole milliseconds, rounded towards zero. */
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
