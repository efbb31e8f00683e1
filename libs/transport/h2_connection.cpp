#include "transport/h2_connection.h"

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <fmt/core.h>
#include <nghttp2/nghttp2.h>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr qint64 socket_high_water_bytes = 256 * 1024;
constexpr std::size_t stream_low_water_bytes = 32U * 1024;
constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds shortest_timer{5};

/** One stream's hooks and what is queued on it. */
struct stream_state {
    stream_hooks hooks_;
    header_list headers_;
    std::size_t header_bytes_ = 0;
    bool announced_ = false; ///< Server: on_request_ was called.
    std::string outgoing_;
    std::size_t outgoing_sent_ = 0;
    bool outgoing_last_ = false;
    bool deferred_ = false;
    bool handed_over_ = false; ///< The header fields were written to the socket.
    bool responded_ = false;   ///< A data provider is attached.
    bool peer_done_ = false;
    bool our_side_done_ = false;
    bool was_above_low_water_ = false;
};

} // namespace

struct h2_connection::state {
    h2_connection* owner_ = nullptr;
    side side_ = side::client;
    std::unique_ptr<QTcpSocket> socket_;
    connection_hooks hooks_;
    connection_limits limits_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<stream_id, std::unique_ptr<stream_state>> streams_;
    std::vector<std::unique_ptr<stream_state>> closed_; ///< Kept while one of their hooks may run.
    std::vector<stream_id> above_low_water_;            ///< Streams that owe an on_writable_.
    std::optional<connection_end> end_after_flush_;
    QTimer timer_;
    QElapsedTimer quiet_;
    bool connected_ = false;
    bool ended_ = false;
    bool going_away_ = false; ///< We sent GOAWAY.
    bool busy_ = false;       ///< Inside nghttp2: output waits until the outermost call returns.
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;

    auto find(stream_id stream) -> stream_state*
    {
        const auto found = streams_.find(stream);
        return found == streams_.end() ? nullptr : found->second.get();
    }

    void start();
    void make_session();
    void on_readable();
    void on_timer();
    void arm_timer();
    void flush();
    void tell_writable();
    void drop_closed_later();
    void end(connection_end end);
    void close_stream(stream_id stream, bool whole, bool refused);
    auto attach_body(stream_id stream) -> nghttp2_data_provider;
};

namespace {

auto read_body(nghttp2_session*, std::int32_t, std::uint8_t* out, std::size_t room,
               std::uint32_t* flags, nghttp2_data_source* source, void*) -> ssize_t
{
    auto& stream = *static_cast<stream_state*>(source->ptr);
    const auto left = stream.outgoing_.size() - stream.outgoing_sent_;
    if (left == 0 && !stream.outgoing_last_) {
        stream.deferred_ = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    const auto count = std::min(left, room);
    std::copy_n(stream.outgoing_.data() + stream.outgoing_sent_, count, out);
    stream.outgoing_sent_ += count;
    if (stream.outgoing_sent_ == stream.outgoing_.size()) {
        stream.outgoing_.clear();
        stream.outgoing_sent_ = 0;
        if (stream.outgoing_last_) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream.our_side_done_ = true;
        }
    }
    return static_cast<ssize_t>(count);
}

} // namespace

/** The functions that nghttp2 calls; each one finds the connection's state and delegates. */
struct h2_callbacks {
    using state = h2_connection::state;

    static auto on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* data) -> int
    {
        auto& self = *static_cast<state*>(data);
        if (self.ended_) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            self.streams_[frame->hd.stream_id] = std::make_unique<stream_state>();
        }
        return 0;
    }

    static auto on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                          std::size_t name_length, const std::uint8_t* value,
                          std::size_t value_length, std::uint8_t, void* data) -> int
    {
        auto& self = *static_cast<state*>(data);
        auto* stream = self.find(frame->hd.stream_id);
        if (stream == nullptr) {
            return 0;
        }
        stream->header_bytes_ += name_length + value_length;
        if (stream->header_bytes_ > self.limits_.header_bytes_) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; // resets the stream
        }
        stream->headers_.push_back(
            {std::string(name, name + name_length), std::string(value, value + value_length)});
        return 0;
    }

    static auto on_frame(nghttp2_session*, const nghttp2_frame* frame, void* data) -> int
    {
        auto& self = *static_cast<state*>(data);
        auto* stream = self.find(frame->hd.stream_id);
        const bool last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (self.ended_) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        if (stream == nullptr ||
            (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
            return 0;
        }
        stream->peer_done_ = stream->peer_done_ || last;
        if (frame->hd.type == NGHTTP2_HEADERS) {
            deliver_headers(self, frame->hd.stream_id, last);
        }
        stream = self.find(frame->hd.stream_id); // a hook may have ended the stream
        if (stream != nullptr && last && stream->hooks_.on_end_) {
            stream->hooks_.on_end_();
        }
        return 0;
    }

    static void deliver_headers(state& self, stream_id id, bool last)
    {
        auto* stream = self.find(id);
        const auto headers = std::move(stream->headers_);
        stream->headers_.clear();
        if (self.side_ == h2_connection::side::server && !stream->announced_) {
            stream->announced_ = true;
            auto hooks = self.hooks_.on_request_(id, headers, last);
            if (auto* still = self.find(id)) {
                still->hooks_ = std::move(hooks);
            }
        }
        else if (stream->hooks_.on_headers_) {
            stream->hooks_.on_headers_(headers, last);
        }
    }

    static auto on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
                        const std::uint8_t* bytes, std::size_t length, void* data) -> int
    {
        auto& self = *static_cast<state*>(data);
        auto* stream = self.find(id);
        if (stream == nullptr || !stream->hooks_.on_data_) {
            nghttp2_session_consume(session, id, length);
            return 0;
        }
        stream->hooks_.on_data_({reinterpret_cast<const char*>(bytes), length});
        return self.ended_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
    }

    static auto on_stream_close(nghttp2_session*, std::int32_t id, std::uint32_t code, void* data)
        -> int
    {
        auto& self = *static_cast<state*>(data);
        const auto* stream = self.find(id);
        const bool whole = stream != nullptr && code == NGHTTP2_NO_ERROR && stream->peer_done_;
        self.close_stream(id, whole, code == NGHTTP2_REFUSED_STREAM);
        return 0;
    }

    static auto on_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* data) -> int
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            auto* stream = static_cast<state*>(data)->find(frame->hd.stream_id);
            if (stream != nullptr) {
                stream->handed_over_ = true;
            }
        }
        return 0;
    }
};

namespace {

auto make_fields(const header_list& headers) -> std::vector<nghttp2_nv>
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

void h2_connection::state::start()
{
    make_session();
    quiet_.start();
    auto* socket = socket_.get();
    connected_ = socket->state() == QAbstractSocket::ConnectedState;
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket, &QTcpSocket::connected, socket, [this, socket] {
        connected_ = true;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        quiet_.restart();
        flush();
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { on_readable(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] { flush(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                     [this] { end(connection_end::closed_by_peer); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] {
        end(connected_ ? connection_end::closed_by_peer : connection_end::refused);
    });
    QObject::connect(&timer_, &QTimer::timeout, socket, [this] { on_timer(); });
    timer_.setSingleShot(true);
    arm_timer();
    flush();
}

/** Wakes when a PING or the end is due, and not before. */
void h2_connection::state::arm_timer()
{
    const auto quiet = std::chrono::milliseconds(quiet_.elapsed());
    const auto due = quiet < limits_.ping_after_ && connected_
                         ? limits_.ping_after_ - quiet
                         : std::min(limits_.ping_after_, limits_.silent_after_ - quiet);
    timer_.start(std::max(due, shortest_timer));
}

void h2_connection::state::make_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            h2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, h2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, h2_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, h2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           h2_callbacks::on_stream_close);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, h2_callbacks::on_frame_sent);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (side_ == side::server) {
        nghttp2_session_server_new2(&session_, callbacks, this, option);
    }
    else {
        nghttp2_session_client_new2(&session_, callbacks, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 3> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.streams_},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.window_bytes_},
         {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
          static_cast<std::uint32_t>(limits_.header_bytes_)}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
}

void h2_connection::state::on_readable()
{
    const auto keep = owner_->shared_from_this();
    const auto bytes = socket_->readAll();
    received_ += static_cast<std::uint64_t>(bytes.size());
    quiet_.restart();
    busy_ = true;
    const auto taken =
        nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                 static_cast<std::size_t>(bytes.size()));
    busy_ = false;
    if (taken < 0) {
        end(connection_end::protocol_error);
    }
    flush();
    closed_.clear();
}

void h2_connection::state::on_timer()
{
    const auto keep = owner_->shared_from_this();
    const auto quiet = std::chrono::milliseconds(quiet_.elapsed());
    if (quiet >= limits_.silent_after_) {
        end(connected_ ? connection_end::silent : connection_end::refused);
    }
    else if (quiet >= limits_.ping_after_ && connected_) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
    if (!ended_) {
        arm_timer();
    }
}

void h2_connection::state::flush()
{
    if (busy_ || ended_ || !connected_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    busy_ = true;
    while (socket_->bytesToWrite() < socket_high_water_bytes) {
        const std::uint8_t* bytes = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &bytes);
        if (count <= 0) {
            break;
        }
        sent_ += static_cast<std::uint64_t>(count);
        socket_->write(reinterpret_cast<const char*>(bytes), count);
    }
    busy_ = false;
    if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) {
        end_after_flush_ =
            going_away_ ? connection_end::closed_by_us : connection_end::protocol_error;
    }
    if (end_after_flush_) {
        if (socket_->bytesToWrite() == 0 && nghttp2_session_want_write(session_) == 0) {
            end(*end_after_flush_);
        }
        return;
    }
    tell_writable();
}

void h2_connection::state::tell_writable()
{
    std::vector<stream_id> drained;
    std::erase_if(above_low_water_, [&](stream_id id) {
        auto* stream = find(id);
        if (stream == nullptr) {
            return true;
        }
        if (stream->outgoing_.size() - stream->outgoing_sent_ > stream_low_water_bytes) {
            return false;
        }
        stream->was_above_low_water_ = false;
        drained.push_back(id);
        return true;
    });
    for (const auto id : drained) {
        if (auto* stream = find(id); stream != nullptr && stream->hooks_.on_writable_) {
            stream->hooks_.on_writable_();
        }
    }
}

/** A stream may be closed by one of its own hooks, which must not be destroyed while it runs. */
void h2_connection::state::drop_closed_later()
{
    if (closed_.size() == 1) {
        QTimer::singleShot(0, socket_.get(), [weak = owner_->weak_from_this()] {
            if (const auto owner = weak.lock()) {
                owner->state_->closed_.clear();
            }
        });
    }
}

void h2_connection::state::close_stream(stream_id stream, bool whole, bool refused)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return;
    }
    closed_.push_back(std::move(found->second));
    auto& gone = *closed_.back();
    streams_.erase(found);
    drop_closed_later();
    if (side_ == side::client && (refused || !gone.handed_over_) && gone.hooks_.on_refused_) {
        gone.hooks_.on_refused_();
    }
    if (gone.hooks_.on_closed_) {
        gone.hooks_.on_closed_(whole);
    }
}

void h2_connection::state::end(connection_end end)
{
    if (ended_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    ended_ = true;
    timer_.stop();
    if (end == connection_end::closed_by_us && connected_ && !busy_) {
        nghttp2_session_terminate_session(session_, NGHTTP2_NO_ERROR);
        const std::uint8_t* bytes = nullptr;
        for (auto count = nghttp2_session_mem_send(session_, &bytes); count > 0;
             count = nghttp2_session_mem_send(session_, &bytes)) {
            socket_->write(reinterpret_cast<const char*>(bytes), count);
        }
        socket_->flush();
    }
    socket_->disconnect();
    socket_->abort();
    while (!streams_.empty()) {
        close_stream(streams_.begin()->first, false, false);
    }
    if (hooks_.on_ended_) {
        const auto on_ended = std::move(hooks_.on_ended_);
        hooks_.on_ended_ = nullptr;
        on_ended(end);
    }
}

auto h2_connection::state::attach_body(stream_id stream) -> nghttp2_data_provider
{
    nghttp2_data_provider provider{};
    provider.source.ptr = find(stream);
    provider.read_callback = read_body;
    return provider;
}

auto h2_connection::request(const header_list& headers, bool last, stream_hooks hooks)
    -> result<stream_id>
{
    if (state_->ended_) {
        return failure(error_kind::unavailable, "the connection has ended");
    }
    const auto fields = make_fields(headers);
    auto stream = std::make_unique<stream_state>();
    stream->hooks_ = std::move(hooks);
    nghttp2_data_provider provider{};
    provider.source.ptr = stream.get();
    provider.read_callback = read_body;
    const auto id = nghttp2_submit_request(state_->session_, nullptr, fields.data(), fields.size(),
                                           last ? nullptr : &provider, nullptr);
    if (id < 0) {
        return failure(error_kind::unavailable,
                       fmt::format("cannot open a stream: {}", nghttp2_strerror(id)));
    }
    stream->responded_ = !last;
    stream->our_side_done_ = last;
    state_->streams_[id] = std::move(stream);
    state_->flush();
    return id;
}

void h2_connection::respond(stream_id stream, const header_list& headers, bool last)
{
    auto* found = state_->find(stream);
    if (found == nullptr || state_->ended_) {
        return;
    }
    const auto fields = make_fields(headers);
    auto provider = state_->attach_body(stream);
    found->responded_ = !last;
    found->our_side_done_ = last;
    nghttp2_submit_response(state_->session_, stream, fields.data(), fields.size(),
                            last ? nullptr : &provider);
    state_->flush();
}

void h2_connection::write(stream_id stream, std::string_view bytes, bool last)
{
    auto* found = state_->find(stream);
    if (found == nullptr || state_->ended_ || found->outgoing_last_) {
        return;
    }
    invariant(found->responded_, "stream {} is written before its headers", stream);
    found->outgoing_ += bytes;
    found->outgoing_last_ = last;
    if (found->outgoing_.size() - found->outgoing_sent_ > stream_low_water_bytes &&
        !std::exchange(found->was_above_low_water_, true)) {
        state_->above_low_water_.push_back(stream);
    }
    if (found->deferred_) {
        found->deferred_ = false;
        nghttp2_session_resume_data(state_->session_, stream);
    }
    state_->flush();
}

auto h2_connection::queued_bytes(stream_id stream) const -> std::size_t
{
    const auto* found = state_->find(stream);
    return found == nullptr ? 0 : found->outgoing_.size() - found->outgoing_sent_;
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
    if (!state_->ended_ && state_->find(stream) != nullptr) {
        nghttp2_submit_rst_stream(state_->session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        state_->flush();
    }
}

void h2_connection::close(connection_end end)
{
    state_->end(end);
}

void h2_connection::close_after_flush(connection_end end)
{
    state_->end_after_flush_ = end;
    state_->flush();
}

void h2_connection::begin_shutdown()
{
    if (state_->ended_ || std::exchange(state_->going_away_, true)) {
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

auto h2_connection::quiet_time() const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(state_->quiet_.elapsed());
}

auto h2_connection::bytes_received() const -> std::uint64_t
{
    return state_->received_;
}

auto h2_connection::bytes_sent() const -> std::uint64_t
{
    return state_->sent_;
}

} // namespace sycamorewinch
