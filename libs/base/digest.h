/** \file
 * A 128-bit content digest (XXH3). It distinguishes versions of content; it is not cryptographic
 * and does not protect against deliberate collisions.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** A 128-bit digest. The default value, zero, stands for content that has no digest yet. */
struct digest {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    [[nodiscard]] auto operator<=>(const digest&) const = default;
};

/** Returns the digest of \p bytes. */
[[nodiscard]] auto digest_of(std::string_view bytes) -> digest;

/** Returns the 64-bit hash (XXH3) of \p bytes with \p seed. */
[[nodiscard]] auto hash_of(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/** Returns \p value as 32 hexadecimal digits. */
[[nodiscard]] auto to_hex(const digest& value) -> std::string;

/** Parses 32 hexadecimal digits; `invalid_input` for any other text. */
[[nodiscard]] auto parse_digest(std::string_view text) -> result<digest>;

} // namespace sycamorewinch
