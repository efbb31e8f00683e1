/** \file
 * The functions that nghttp2 calls for one connection. Each finds the connection's state and
 * delegates to it.
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include <nghttp2/nghttp2.h>

namespace sycamorewinch::internal {

/** Returns the callbacks of every session; free them with nghttp2_session_callbacks_del(). */
[[nodiscard]] auto make_h2_callbacks() -> nghttp2_session_callbacks*;

/** Hands the queued bytes of a stream, the provider's source, to nghttp2. */
[[nodiscard]] auto read_stream_body(nghttp2_session* session, std::int32_t stream,
                                    std::uint8_t* out, std::size_t room, std::uint32_t* flags,
                                    nghttp2_data_source* source, void* user_data) -> ssize_t;

} // namespace sycamorewinch::internal
