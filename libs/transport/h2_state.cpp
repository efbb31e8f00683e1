#include "transport/h2_state.h"

#include <algorithm>
#include <array>
#include <utility>

#include "transport/h2_callbacks.h"

namespace sycamorewinch {

namespace {

constexpr qint64 socket_high_water_bytes = 256 * 1024;
constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds shortest_timer{5};

} // namespace

using internal::stream_low_water_bytes;

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
                     [this] { on_lost(connection_end::closed_by_peer); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] {
        on_lost(connected_ ? connection_end::closed_by_peer : connection_end::refused);
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
    if (is_idle()) {
        timer_.start(std::max(limits_.idle_after_ - quiet, shortest_timer));
        return;
    }
    const auto due = quiet < limits_.ping_after_ && connected_
                         ? limits_.ping_after_ - quiet
                         : std::min(limits_.ping_after_, limits_.silent_after_ - quiet);
    timer_.start(std::max(due, shortest_timer));
}

void h2_connection::state::make_session()
{
    auto* callbacks = internal::make_h2_callbacks();
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
    if (lingering_) {
        end(connection_end::closed_by_us);
        return;
    }
    if (is_idle()) {
        if (quiet >= limits_.idle_after_) {
            end(connection_end::closed_by_us);
        }
    }
    else if (quiet >= limits_.silent_after_) {
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
        if (going_away_) {
            linger();
            return;
        }
        end_after_flush_ =
            peer_is_leaving_ ? connection_end::closed_by_peer : connection_end::protocol_error;
    }
    if (end_after_flush_) {
        if (socket_->bytesToWrite() == 0 && nghttp2_session_want_write(session_) == 0) {
            end(*end_after_flush_);
        }
        return;
    }
    tell_writable();
}

void h2_connection::state::linger()
{
    if (!std::exchange(lingering_, true)) {
        timer_.start(limits_.linger_);
    }
}

void h2_connection::state::on_lost(connection_end reason)
{
    end(lingering_ ? connection_end::closed_by_us : reason);
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
    provider.read_callback = internal::read_stream_body;
    return provider;
}

} // namespace sycamorewinch
