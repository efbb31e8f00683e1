/** \file
 * Large messages travel as one Zstandard frame; small ones as they are.
 *
 * A whole table of many services is mostly the same few words again; a step of one row is not.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** Messages of fewer bytes are not worth compressing. */
constexpr std::size_t smallest_compressed_bytes = 2048;

/** No message may be larger than this once it is unpacked. */
constexpr std::size_t max_unpacked_bytes = 64U * 1024 * 1024;

/** Returns \p bytes as a Zstandard frame. */
[[nodiscard]] auto compress(std::string_view bytes) -> std::string;

/** Returns \p bytes as a Zstandard frame that is read with the same \p before at hand: what the two
 * have in common takes almost no room. */
[[nodiscard]] auto compress_with_prefix(std::string_view before, std::string_view bytes)
    -> std::string;

/** Returns what compress_with_prefix() was given with the same \p before; errors as of
 * decompress(). */
[[nodiscard]] auto decompress_with_prefix(std::string_view before, std::string_view frame)
    -> result<std::string>;

/** Returns what \p frame holds. A damaged frame, or one that does not say its size or says one
 * above max_unpacked_bytes, is an error. */
[[nodiscard]] auto decompress(std::string_view frame) -> result<std::string>;

} // namespace sycamorewinch
