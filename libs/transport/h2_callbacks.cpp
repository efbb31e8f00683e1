#include "transport/h2_callbacks.h"

#include <algorithm>

#include "transport/h2_state.h"

namespace sycamorewinch::internal {

namespace {

/** The nghttp2 callbacks of a connection; \p user_data points to the state of the connection. */
struct h2_callbacks {
    using state = h2_connection::state;

    static auto on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
        -> int
    {
        auto& self = *static_cast<state*>(user_data);
        if (self.ended_) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            self.streams_[frame->hd.stream_id] =
                std::make_unique<stream_state>(self.limits_.guard_);
        }
        return 0;
    }

    static auto on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                          std::size_t name_length, const std::uint8_t* value,
                          std::size_t value_length, std::uint8_t, void* user_data) -> int
    {
        auto& self = *static_cast<state*>(user_data);
        auto* stream = self.find_stream(frame->hd.stream_id);
        if (stream == nullptr) {
            return 0;
        }
        stream->header_bytes_ += name_length + value_length;
        if (stream->header_bytes_ > self.limits_.max_header_bytes_) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; // resets only this stream
        }
        stream->headers_.push_back(
            {std::string(name, name + name_length), std::string(value, value + value_length)});
        return 0;
    }

    static auto on_frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
        -> int
    {
        auto& self = *static_cast<state*>(user_data);
        auto* stream = self.find_stream(frame->hd.stream_id);
        const bool ends_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (self.ended_) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        self.goaway_received_ = self.goaway_received_ || frame->hd.type == NGHTTP2_GOAWAY;
        if (stream == nullptr ||
            (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
            return 0;
        }
        stream->peer_ended_stream_ = stream->peer_ended_stream_ || ends_stream;
        if (frame->hd.type == NGHTTP2_HEADERS) {
            deliver_headers(self, frame->hd.stream_id, ends_stream);
        }
        // on_request_ or on_headers_ may have closed the stream.
        stream = self.find_stream(frame->hd.stream_id);
        if (stream != nullptr && ends_stream && stream->hooks_.on_end_) {
            stream->hooks_.on_end_();
        }
        return 0;
    }

    static void deliver_headers(state& self, stream_id id, bool ends_stream)
    {
        auto* stream = self.find_stream(id);
        const auto headers = std::move(stream->headers_);
        stream->headers_.clear();
        if (self.side_ == h2_connection::side::server && !stream->request_delivered_) {
            stream->request_delivered_ = true;
            auto hooks = self.hooks_.on_request_(id, headers, ends_stream);
            if (auto* remaining_stream = self.find_stream(id)) {
                remaining_stream->hooks_ = std::move(hooks);
            }
        }
        else if (stream->hooks_.on_headers_) {
            stream->hooks_.on_headers_(headers, ends_stream);
        }
    }

    static auto on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
                        const std::uint8_t* bytes, std::size_t length, void* user_data) -> int
    {
        auto& self = *static_cast<state*>(user_data);
        auto* stream = self.find_stream(id);
        if (stream == nullptr || !stream->hooks_.on_data_) {
            nghttp2_session_consume(session, id, length);
            return 0;
        }
        stream->hooks_.on_data_({reinterpret_cast<const char*>(bytes), length});
        return self.ended_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
    }

    static auto on_stream_close(nghttp2_session*, std::int32_t id, std::uint32_t code,
                                void* user_data) -> int
    {
        auto& self = *static_cast<state*>(user_data);
        const auto* stream = self.find_stream(id);
        const bool peer_message_complete =
            stream != nullptr && code == NGHTTP2_NO_ERROR && stream->peer_ended_stream_;
        self.close_stream(id, peer_message_complete, code == NGHTTP2_REFUSED_STREAM);
        return 0;
    }

    static auto on_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data) -> int
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            auto* stream = static_cast<state*>(user_data)->find_stream(frame->hd.stream_id);
            if (stream != nullptr) {
                stream->headers_sent_ = true;
            }
        }
        return 0;
    }
};

} // namespace

auto make_h2_callbacks() -> nghttp2_session_callbacks*
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            h2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, h2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         h2_callbacks::on_frame_received);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, h2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           h2_callbacks::on_stream_close);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, h2_callbacks::on_frame_sent);
    return callbacks;
}

auto provide_stream_body(nghttp2_session*, std::int32_t, std::uint8_t* out, std::size_t max_bytes,
                         std::uint32_t* flags, nghttp2_data_source* source, void*) -> ssize_t
{
    auto& stream = *static_cast<stream_state*>(source->ptr);
    const auto unsent = stream.unsent_bytes();
    if (unsent == 0 && !stream.outgoing_is_end_) {
        stream.data_is_deferred_ = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    const auto count = std::min(unsent, max_bytes);
    std::copy_n(stream.outgoing_.data() + stream.outgoing_consumed_, count, out);
    stream.consume_outgoing(count);
    if (stream.unsent_bytes() == 0 && stream.outgoing_is_end_) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        stream.all_body_submitted_ = true;
    }
    return static_cast<ssize_t>(count);
}

} // namespace sycamorewinch::internal
