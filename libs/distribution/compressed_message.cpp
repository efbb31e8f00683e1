#include "distribution/compressed_message.h"

#include <zstd.h>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr int compression_level = 3;

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
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return failure(error_kind::corrupt, "a compressed message has no readable size");
    }
    if (size > max_unpacked_bytes) {
        return failure(error_kind::too_large, "a compressed message is too large once unpacked");
    }
    std::string bytes(size, '\0');
    const auto unpacked = ZSTD_decompress(bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(unpacked) != 0 || unpacked != size) {
        return failure(error_kind::corrupt, "a compressed message is damaged");
    }
    return bytes;
}

} // namespace sycamorewinch
