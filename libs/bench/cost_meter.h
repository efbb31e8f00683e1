/** \file
 * Reads the CPU time of the calling thread and the heap use of the process.
 */
#pragma once

#include <cstdint>
#include <functional>

namespace sycamorewinch {

/** Returns the CPU time of the calling thread in seconds. */
[[nodiscard]] auto thread_cpu_seconds() -> double;

/** Returns the number of allocated heap bytes of the process. */
[[nodiscard]] auto heap_bytes() -> std::uint64_t;

/** Runs \p work and returns the CPU seconds it took on this thread. */
[[nodiscard]] auto cpu_seconds_of(const std::function<void()>& work) -> double;

} // namespace sycamorewinch
