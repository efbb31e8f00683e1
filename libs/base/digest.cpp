#include "base/digest.h"

#include <fmt/core.h>
#include <xxhash.h>

namespace sycamorewinch {

auto digest_of(std::string_view bytes) -> digest
{
    const auto value = XXH3_128bits(bytes.data(), bytes.size());
    return {value.high64, value.low64};
}

auto hash_of(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto to_hex(const digest& value) -> std::string
{
    return fmt::format("{:016x}{:016x}", value.high_, value.low_);
}

} // namespace sycamorewinch
