/** \file
 * The nghttp2 callbacks of h2_connection. Their user data is the state of the connection.
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include <nghttp2/nghttp2.h>

namespace sycamorewinch::internal {

/** Returns a new callback set for a session; free it with nghttp2_session_callbacks_del(). */
[[nodiscard]] auto make_h2_callbacks() -> nghttp2_session_callbacks*;

/** Data provider callback: copies up to \p max_bytes queued body bytes of the stream in \p source
 * to \p out. Defers the stream when nothing is queued, and sets the EOF flag after the last byte.
 */
[[nodiscard]] auto provide_stream_body(nghttp2_session* session, std::int32_t stream,
                                       std::uint8_t* out, std::size_t max_bytes,
                                       std::uint32_t* flags, nghttp2_data_source* source,
                                       void* user_data) -> ssize_t;

} // namespace sycamorewinch::internal
