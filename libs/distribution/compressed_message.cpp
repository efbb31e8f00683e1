#include "distribution/compressed_message.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr int compression_level = 3;
constexpr int min_window_log = 10; ///< The least that Zstandard allows.
constexpr int max_window_log = 26; ///< 64 MiB, the largest message.

using compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/** The window must reach back over all of what came before. */
auto window_log(std::size_t bytes) -> int
{
    const auto reach = std::bit_width(std::max<std::size_t>(bytes, 1));
    return std::clamp(static_cast<int>(reach) + 1, min_window_log, max_window_log);
}

/** Returns the size that \p frame says it has once unpacked. */
auto unpacked_size(std::string_view frame) -> result<std::size_t>
{
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return failure(error_kind::corrupt, "a compressed message has no readable size");
    }
    if (size > max_unpacked_bytes) {
        return failure(error_kind::too_large, "a compressed message is too large once unpacked");
    }
    return size;
}

} // namespace

auto compress(std::string_view bytes) -> std::string
{
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const auto size =
        ZSTD_compress(frame.data(), frame.size(), bytes.data(), bytes.size(), compression_level);
    invariant(ZSTD_isError(size) == 0, "a message of {} bytes could not be compressed: {}",
              bytes.size(), ZSTD_getErrorName(size));
    frame.resize(size);
    return frame;
}

auto decompress(std::string_view frame) -> result<std::string>
{
    return decompress_with_prefix({}, frame);
}

auto compress_with_prefix(std::string_view before, std::string_view bytes) -> std::string
{
    const compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           window_log(before.size() + bytes.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), before.data(), before.size());
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const auto size =
        ZSTD_compress2(context.get(), frame.data(), frame.size(), bytes.data(), bytes.size());
    invariant(ZSTD_isError(size) == 0, "a text of {} bytes could not be compressed: {}",
              bytes.size(), ZSTD_getErrorName(size));
    frame.resize(size);
    return frame;
}

auto decompress_with_prefix(std::string_view before, std::string_view frame) -> result<std::string>
{
    const auto size = unpacked_size(frame);
    if (!size) {
        return tl::unexpected(size.error());
    }
    const decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    ZSTD_DCtx_refPrefix(context.get(), before.data(), before.size());
    std::string bytes(*size, '\0');
    const auto unpacked =
        ZSTD_decompressDCtx(context.get(), bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(unpacked) != 0 || unpacked != *size) {
        return failure(error_kind::corrupt, "a compressed message is damaged");
    }
    return bytes;
}

} // namespace sycamorewinch
