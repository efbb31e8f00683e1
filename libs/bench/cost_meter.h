/** \file
 * Reads what the calling thread and the process have spent: processor time and heap bytes.
 */
#pragma once

#include <cstdint>
#include <functional>

namespace sycamorewinch {

/** Returns the processor time of the calling thread in seconds. */
[[nodiscard]] auto thread_cpu_seconds() -> double;

/** Returns the bytes in use on the heap of the process. */
[[nodiscard]] auto heap_bytes() -> std::uint64_t;

/** Returns the processor seconds that \p work takes on this thread. */
[[nodiscard]] auto cpu_seconds_of(const std::function<void()>& work) -> double;

} // namespace sycamorewinch
