#include "base/digest.h"

#include <charconv>
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

auto parse_digest(std::string_view text) -> result<digest>
{
    constexpr std::size_t word_digits = 16;
    constexpr int hexadecimal = 16;
    digest value;
    const auto parse_word = [&text](std::size_t start, std::uint64_t& word) {
        const auto* first = text.data() + start;
        const auto* last = first + word_digits;
        return std::from_chars(first, last, word, hexadecimal).ptr == last;
    };
    if (text.size() != 2 * word_digits || !parse_word(0, value.high_) ||
        !parse_word(word_digits, value.low_)) {
        return failure(error_kind::invalid_input, "a digest must have 32 hexadecimal digits");
    }
    return value;
}

} // namespace sycamorewinch
