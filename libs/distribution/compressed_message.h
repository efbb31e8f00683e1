/** \file
 * Zstandard compression of distribution messages and stored texts.
 *
 * A message of at least compression_threshold_bytes is sent as one Zstandard frame, a smaller one
 * uncompressed: a whole table of many services is highly repetitive, a change of one row is not.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** Messages of fewer bytes are sent uncompressed. */
constexpr std::size_t compression_threshold_bytes = 2048;

/** The upper limit for a decompressed message, in bytes. */
constexpr std::size_t max_decompressed_bytes = 64U * 1024 * 1024;

/** Compresses \p bytes into one Zstandard frame. */
[[nodiscard]] auto compress(std::string_view bytes) -> std::string;

/** Compresses \p bytes into one Zstandard frame with \p prefix as reference data: content that both
 * share takes almost no space. Decompression needs the same \p prefix. */
[[nodiscard]] auto compress_with_prefix(std::string_view prefix, std::string_view bytes)
    -> std::string;

/** Decompresses a \p frame of compress_with_prefix() that was made with the same \p prefix. Errors
 * are those of decompress(). */
[[nodiscard]] auto decompress_with_prefix(std::string_view prefix, std::string_view frame)
    -> result<std::string>;

/** Decompresses \p frame. Returns error_kind::corrupt for a damaged frame or one without a content
 * size, and error_kind::too_large for a content size above max_decompressed_bytes. */
[[nodiscard]] auto decompress(std::string_view frame) -> result<std::string>;

} // namespace sycamorewinch
