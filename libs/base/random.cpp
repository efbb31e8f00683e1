#include "base/random.h"

#include <memory>
#include <random>

#include <fmt/core.h>

#include "base/invariant.h"

namespace sycamorewinch {

auto seeded_random(std::uint64_t seed) -> random_hook
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] {
        return (*engine)();
    };
}

auto system_random() -> random_hook
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    return seeded_random(high << 32U | device());
}

auto uniform_below(const random_hook& random, std::uint64_t bound) -> std::uint64_t
{
    invariant(bound > 0, "uniform_below needs a positive bound, got {}", bound);
    return random() % bound;
}

auto uniform_unit(const random_hook& random) -> double
{
    // 2^53: a double represents all integers up to this exactly.
    constexpr double steps = 9007199254740992.0;
    return static_cast<double>(random() >> 11U) / steps;
}

auto uniform_between(const random_hook& random, duration low, duration high) -> duration
{
    const auto width = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + duration(static_cast<std::int64_t>(uniform_below(random, width)));
}

auto random_identifier(const random_hook& random) -> std::string
{
    return fmt::format("{:016x}{:016x}", random(), random());
}

} // namespace sycamorewinch
