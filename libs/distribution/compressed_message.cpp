#include "distribution/compressed_message.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr int compression_level = 3;
constexpr int min_window_log = 10; ///< The minimum that Zstandard accepts.
constexpr int max_window_log = 26; ///< 64 MiB, the size of the largest message.

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/** Returns a window log that covers \p bytes, so that matches can reach back to the start of the
 * prefix. */
auto window_log(std::size_t bytes) -> int
{
    const auto bits = std::bit_width(std::max<std::size_t>(bytes, 1));
    return std::clamp(static_cast<int>(bits) + 1, min_window_log, max_window_log);
}

/** Returns the decompressed size that the header of \p frame declares. */
auto decompressed_size(std::string_view frame) -> result<std::size_t>
{
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return failure(error_kind::corrupt, "compressed message declares no content size");
    }
    if (size > max_decompressed_bytes) {
        return failure(error_kind::too_large,
                       "compressed message exceeds the maximum decompressed size");
    }
    return size;
}

} // namespace

auto compress(std::string_view bytes) -> std::string
{
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const auto size =
        ZSTD_compress(frame.data(), frame.size(), bytes.data(), bytes.size(), compression_level);
    invariant(ZSTD_isError(size) == 0, "cannot compress a message of {} bytes: {}", bytes.size(),
              ZSTD_getErrorName(size));
    frame.resize(size);
    return frame;
}

auto decompress(std::string_view frame) -> result<std::string>
{
    return decompress_with_prefix({}, frame);
}

auto compress_with_prefix(std::string_view prefix, std::string_view bytes) -> std::string
{
    const compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           window_log(prefix.size() + bytes.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const auto size =
        ZSTD_compress2(context.get(), frame.data(), frame.size(), bytes.data(), bytes.size());
    invariant(ZSTD_isError(size) == 0, "cannot compress a text of {} bytes with a prefix: {}",
              bytes.size(), ZSTD_getErrorName(size));
    frame.resize(size);
    return frame;
}

auto decompress_with_prefix(std::string_view prefix, std::string_view frame) -> result<std::string>
{
    const auto size = decompressed_size(frame);
    if (!size) {
        return tl::unexpected(size.error());
    }
    const decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    std::string bytes(*size, '\0');
    const auto decompressed =
        ZSTD_decompressDCtx(context.get(), bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(decompressed) != 0 || decompressed != *size) {
        return failure(error_kind::corrupt, "compressed message is damaged");
    }
    return bytes;
}

} // namespace sycamorewinch
