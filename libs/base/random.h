/** \file
 * Random numbers through an injected generator, so that a run can be replayed from its seed.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"

namespace sycamorewinch {

/** A generator that returns 64 uniformly distributed bits per call. */
using random_hook = std::function<std::uint64_t()>;

/** Returns a generator that yields the same sequence for the same \p seed. Not thread-safe. */
[[nodiscard]] auto seeded_random(std::uint64_t seed) -> random_hook;

/** Returns a generator seeded by the operating system. */
[[nodiscard]] auto system_random() -> random_hook;

/** Returns a uniform integer in [0, \p bound). \p bound must be positive. */
[[nodiscard]] auto uniform_below(const random_hook& random, std::uint64_t bound) -> std::uint64_t;

/** Returns a uniform number in [0, 1). */
[[nodiscard]] auto uniform_unit(const random_hook& random) -> double;

/** Returns a uniform duration in [\p low, \p high], both inclusive. */
[[nodiscard]] auto uniform_between(const random_hook& random, duration low, duration high)
    -> duration;

/** Returns a random 128-bit identifier as 32 hexadecimal digits. */
[[nodiscard]] auto random_identifier(const random_hook& random) -> std::string;

} // namespace sycamorewinch
