/** \file
 * A 128-bit content digest (XXH3). It tells two honest versions apart; it is not a signature.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** A 128-bit digest. The default value is the digest of nothing yet. */
struct digest {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    [[nodiscard]] auto operator<=>(const digest&) const = default;
};

/** Returns the digest of \p bytes. */
[[nodiscard]] auto digest_of(std::string_view bytes) -> digest;

/** Returns the 64-bit hash of \p bytes, seeded by \p seed. */
[[nodiscard]] auto hash_of(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/** Returns \p value as 32 hexadecimal digits. */
[[nodiscard]] auto to_hex(const digest& value) -> std::string;

/** Reads 32 hexadecimal digits back. */
[[nodiscard]] auto parse_digest(std::string_view text) -> result<digest>;

} // namespace sycamorewinch
