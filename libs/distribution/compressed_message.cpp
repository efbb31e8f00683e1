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
constexpr int max_window_log = 26; ///< 64 MiB, the maximum size of a decompressed message.

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/** Returns the base-2 logarithm of a window of at least \p byte_count bytes, or max_window_log if
 * that is less. A window over prefix and message lets matches reach the start of the prefix. */
auto window_log(std::size_t byte_count) -> int
{
    const auto width = std::bit_width(std::max<std::size_t>(byte_count, 1));
    return std::clamp(static_cast<int>(width) + 1, min_window_log, max_window_log);
}

/** Returns the decompressed size that the header of \p frame declares. */
auto decompressed_size(std::string_view frame) -> result<std::size_t>
{
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return failure(error_kind::corrupt,
                       "compressed message has no valid header or declares no decompressed size");
    }
    if (size > max_decompressed_bytes) {
        return failure(error_kind::too_large,
                       "decompressed size of the message exceeds the maximum");
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
    invariant(ZSTD_isError(size) == 0, "cannot compress a message of {} bytes with a prefix: {}",
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
        return failure(error_kind::corrupt,
                       "cannot decompress the message: damaged, or compressed with another prefix");
    }
    return bytes;
}

} // namespace sycamorewinch
