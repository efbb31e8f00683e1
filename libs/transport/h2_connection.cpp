#include "transport/h2_connection.h"

#include <utility>
#include <vector>

#include <fmt/core.h>

#include "base/invariant.h"
#include "transport/h2_callbacks.h"
#include "transport/h2_state.h"

namespace sycamorewinch {

using internal::stream_low_water_bytes;
using internal::stream_state;

namespace {

auto make_nghttp2_fields(const header_list& headers) -> std::vector<nghttp2_nv>
{
    std::vector<nghttp2_nv> fields;
    fields.reserve(headers.size());
    for (const auto& field : headers) {
        // nghttp2 copies both strings and does not write to them.
        auto* name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name_.data()));
        auto* value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value_.data()));
        fields.push_back(
            {name, value, field.name_.size(), field.value_.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return fields;
}

} // namespace

h2_connection::h2_connection() : state_(std::make_unique<state>()) {}

h2_connection::~h2_connection()
{
    if (state_->session_ != nullptr) {
        nghttp2_session_del(state_->session_);
    }
    if (state_->socket_) {
        state_->socket_->disconnect();
        state_->socket_.release()->deleteLater();
    }
}

auto h2_connection::create(side side, std::unique_ptr<QTcpSocket> socket, connection_hooks hooks,
                           connection_limits limits) -> std::shared_ptr<h2_connection>
{
    std::shared_ptr<h2_connection> connection(new h2_connection());
    auto& state = *connection->state_;
    state.owner_ = connection.get();
    state.side_ = side;
    state.socket_ = std::move(socket);
    state.hooks_ = std::move(hooks);
    state.limits_ = limits;
    state.start();
    return connection;
}

auto h2_connection::request(const header_list& headers, bool last, stream_hooks hooks)
    -> result<stream_id>
{
    if (state_->ended_) {
        return failure(error_kind::unavailable, "the connection is closed");
    }
    const auto fields = make_nghttp2_fields(headers);
    auto stream = std::make_unique<stream_state>(state_->limits_.guard_);
    stream->hooks_ = std::move(hooks);
    nghttp2_data_provider provider{};
    provider.source.ptr = stream.get();
    provider.read_callback = internal::provide_stream_body;
    const auto id = nghttp2_submit_request(state_->session_, nullptr, fields.data(), fields.size(),
                                           last ? nullptr : &provider, nullptr);
    if (id < 0) {
        return failure(error_kind::unavailable,
                       fmt::format("cannot open a stream: {}", nghttp2_strerror(id)));
    }
    stream->has_data_provider_ = !last;
    stream->all_body_submitted_ = last;
    if (state_->idle_timeout_applies()) { // the heartbeat timeout starts with the first stream
        state_->since_last_receive_.restart();
        state_->since_unanswered_ping_.invalidate();
        state_->streams_[id] = std::move(stream);
        state_->arm_timer();
    }
    else {
        state_->streams_[id] = std::move(stream);
    }
    state_->flush();
    return id;
}

void h2_connection::respond(stream_id stream, const header_list& headers, bool last)
{
    auto* found = state_->find_stream(stream);
    if (found == nullptr || state_->ended_) {
        return;
    }
    const auto fields = make_nghttp2_fields(headers);
    auto provider = state_->attach_body(stream);
    found->has_data_provider_ = !last;
    found->all_body_submitted_ = last;
    nghttp2_submit_response(state_->session_, stream, fields.data(), fields.size(),
                            last ? nullptr : &provider);
    state_->flush();
}

void h2_connection::write(stream_id stream, std::string_view bytes, bool last)
{
    auto* found = state_->find_stream(stream);
    if (found == nullptr || state_->ended_ || found->outgoing_is_end_ || found->is_reset_) {
        return;
    }
    invariant(found->has_data_provider_, "body bytes written to stream {} before its header fields",
              stream);
    found->add_outgoing(bytes);
    found->outgoing_is_end_ = last;
    if (found->unsent_bytes() > stream_low_water_bytes &&
        !std::exchange(found->was_above_low_water_, true)) {
        state_->above_low_water_.push_back(stream);
    }
    if (found->data_is_deferred_) {
        found->data_is_deferred_ = false;
        nghttp2_session_resume_data(state_->session_, stream);
    }
    state_->flush();
}

auto h2_connection::queued_bytes(stream_id stream) const -> std::size_t
{
    const auto* found = state_->find_stream(stream);
    return found == nullptr ? 0 : found->unsent_bytes();
}

void h2_connection::consume(stream_id stream, std::size_t count)
{
    if (!state_->ended_) {
        nghttp2_session_consume(state_->session_, stream, count);
        state_->flush();
    }
}

void h2_connection::reset(stream_id stream)
{
    auto* found = state_->find_stream(stream);
    // A second frame for a stream that was never opened would be an error of the connection.
    if (!state_->ended_ && found != nullptr && !std::exchange(found->is_reset_, true)) {
        found->drop_outgoing();
        nghttp2_submit_rst_stream(state_->session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        state_->flush();
    }
}

auto h2_connection::reset_if_unsent(stream_id stream) -> bool
{
    // nghttp2 opens the stream when it starts to write the request's header; a reset before that
    // removes the header from its queue.
    const auto is_unsent = !state_->ended_ && state_->find_stream(stream) != nullptr &&
                           nghttp2_session_get_stream_local_close(state_->session_, stream) < 0;
    if (is_unsent) {
        reset(stream);
    }
    return is_unsent;
}

void h2_connection::close(connection_end_reason end)
{
    state_->end(end);
}

void h2_connection::close_after_flush(connection_end_reason end)
{
    state_->close_after_flush_ = end;
    state_->flush();
}

void h2_connection::begin_shutdown()
{
    if (state_->ended_ || std::exchange(state_->goaway_sent_, true)) {
        return;
    }
    const auto last = nghttp2_session_get_last_proc_stream_id(state_->session_);
    nghttp2_submit_goaway(state_->session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    state_->flush();
}

auto h2_connection::accepts_requests() const -> bool
{
    return !state_->ended_ && nghttp2_session_check_request_allowed(state_->session_) != 0;
}

auto h2_connection::is_open() const -> bool
{
    return !state_->ended_;
}

auto h2_connection::open_streams() const -> std::size_t
{
    return state_->streams_.size();
}

auto h2_connection::time_since_receive() const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(state_->since_last_receive_.elapsed());
}

auto h2_connection::bytes_received() const -> std::uint64_t
{
    return state_->bytes_received_;
}

auto h2_connection::bytes_sent() const -> std::uint64_t
{
    return state_->bytes_sent_;
}

} // namespace sycamorewinch
