#include "transport/h2_state.h"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/socket.h>

#include <QTimer>

#include "transport/h2_callbacks.h"

namespace sycamorewinch {

namespace {

/** Frames that are queued behind these bytes can no longer be overtaken by those of another stream.
 */
constexpr qint64 socket_high_water_bytes = 16 * 1024;
constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds min_timer_interval{5};

} // namespace

using internal::stream_low_water_bytes;

void internal::stream_state::consume_outgoing(std::size_t count)
{
    outgoing_consumed_ += count;
    if (outgoing_consumed_ == outgoing_.size()) {
        outgoing_ = {};
        outgoing_consumed_ = 0;
    }
    else if (outgoing_consumed_ > outgoing_.size() / 2) {
        outgoing_ = outgoing_.substr(outgoing_consumed_);
        outgoing_consumed_ = 0;
    }
    charge_.set(outgoing_.size());
}

void internal::stream_state::add_outgoing(std::string_view bytes)
{
    outgoing_ += bytes;
    charge_.set(outgoing_.size());
}

void h2_connection::state::start()
{
    make_session();
    since_last_receive_.start();
    auto* socket = socket_.get();
    connected_ = socket->state() == QAbstractSocket::ConnectedState;
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket, &QTcpSocket::connected, socket, [this, socket] {
        connected_ = true;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        since_last_receive_.restart();
        flush();
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { on_readable(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] { flush(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                     [this] { on_socket_closed(connection_end_reason::closed_by_peer); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] {
        on_socket_closed(connected_ ? connection_end_reason::closed_by_peer
                                    : connection_end_reason::refused);
    });
    arm_timer();
    flush();
}

/** Starts the timer for the next PING or timeout that is due. */
void h2_connection::state::arm_timer()
{
    const auto since_receive = std::chrono::milliseconds(since_last_receive_.elapsed());
    if (idle_timeout_applies()) {
        timer_.start(std::max(limits_.idle_timeout_ - since_receive, min_timer_interval));
        return;
    }
    auto due = limits_.heartbeat_timeout_ - since_receive;
    if (since_unanswered_ping_.isValid()) {
        const auto since_ping = std::chrono::milliseconds(since_unanswered_ping_.elapsed());
        due = std::min(limits_.ping_interval_, ping_timeout() - since_ping);
    }
    else if (connected_) {
        due = limits_.ping_interval_ - since_receive;
    }
    timer_.start(std::max(due, min_timer_interval));
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
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_concurrent_streams_},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.window_bytes_},
         {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
          static_cast<std::uint32_t>(limits_.max_header_bytes_)}}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
}

void h2_connection::state::on_readable()
{
    const auto keep = owner_->shared_from_this();
    if (limits_.guard_ != nullptr) {
        // Without room, each stream goes on with what its receive window allows.
        limits_.guard_->make_room(static_cast<std::uint64_t>(socket_->bytesAvailable()), nullptr);
        if (ended_) {
            return;
        }
    }
    const auto bytes = socket_->readAll();
    bytes_received_ += static_cast<std::uint64_t>(bytes.size());
    since_last_receive_.restart();
    since_unanswered_ping_.invalidate();
    inside_nghttp2_ = true;
    const auto bytes_or_error =
        nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                 static_cast<std::size_t>(bytes.size()));
    inside_nghttp2_ = false;
    if (bytes_or_error < 0) {
        end(connection_end_reason::protocol_error);
    }
    flush();
    closed_streams_.clear();
}

void h2_connection::state::on_timer()
{
    const auto keep = owner_->shared_from_this();
    const auto since_receive = std::chrono::milliseconds(since_last_receive_.elapsed());
    if (awaiting_peer_close_) {
        end(connection_end_reason::closed_by_us);
        return;
    }
    if (idle_timeout_applies()) {
        if (since_receive >= limits_.idle_timeout_) {
            end(connection_end_reason::closed_by_us);
        }
    }
    else if (!connected_) {
        if (since_receive >= limits_.heartbeat_timeout_) {
            end(connection_end_reason::refused);
        }
    }
    else {
        check_heartbeat();
    }
    if (!ended_) {
        arm_timer();
    }
}

/** Sends a PING once nothing has arrived for ping_interval_, and ends the connection if the peer
 * does not answer. The time without bytes alone does not tell: if this event loop stalled, the peer
 * was not asked, or its answer was not read. */
void h2_connection::state::check_heartbeat()
{
    if (has_unread_bytes()) {
        return;
    }
    if (since_unanswered_ping_.isValid() &&
        std::chrono::milliseconds(since_unanswered_ping_.elapsed()) >= ping_timeout()) {
        end(connection_end_reason::silent);
    }
    else if (std::chrono::milliseconds(since_last_receive_.elapsed()) >= limits_.ping_interval_) {
        send_ping();
    }
}

void h2_connection::state::send_ping()
{
    if (!since_unanswered_ping_.isValid()) {
        since_unanswered_ping_.start();
    }
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

auto h2_connection::state::ping_timeout() const -> std::chrono::milliseconds
{
    return std::max(limits_.heartbeat_timeout_ - limits_.ping_interval_, min_timer_interval);
}

auto h2_connection::state::has_unread_bytes() const -> bool
{
    char byte = 0;
    const auto descriptor = static_cast<int>(socket_->socketDescriptor());
    return socket_->bytesAvailable() > 0 ||
           ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void h2_connection::state::flush()
{
    if (inside_nghttp2_ || ended_ || !connected_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    inside_nghttp2_ = true;
    while (socket_->bytesToWrite() < socket_high_water_bytes) {
        const std::uint8_t* bytes = nullptr;
        const auto count = nghttp2_session_mem_send(session_, &bytes);
        if (count <= 0) {
            break;
        }
        bytes_sent_ += static_cast<std::uint64_t>(count);
        socket_->write(reinterpret_cast<const char*>(bytes), count);
    }
    inside_nghttp2_ = false;
    if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) {
        if (goaway_sent_) {
            await_peer_close();
            return;
        }
        close_after_flush_ = goaway_received_ ? connection_end_reason::closed_by_peer
                                              : connection_end_reason::protocol_error;
    }
    if (close_after_flush_) {
        if (socket_->bytesToWrite() == 0 && nghttp2_session_want_write(session_) == 0) {
            end(*close_after_flush_);
        }
        return;
    }
    notify_writable();
}

void h2_connection::state::await_peer_close()
{
    if (!std::exchange(awaiting_peer_close_, true)) {
        timer_.start(limits_.linger_timeout_);
    }
}

void h2_connection::state::on_socket_closed(connection_end_reason reason)
{
    connected_ = false;
    end(awaiting_peer_close_ ? connection_end_reason::closed_by_us : reason);
}

void h2_connection::state::notify_writable()
{
    std::vector<stream_id> writable_streams;
    std::erase_if(above_low_water_, [&](stream_id id) {
        auto* stream = find_stream(id);
        if (stream == nullptr) {
            return true;
        }
        if (stream->unsent_bytes() > stream_low_water_bytes) {
            return false;
        }
        stream->was_above_low_water_ = false;
        writable_streams.push_back(id);
        return true;
    });
    for (const auto id : writable_streams) {
        if (auto* stream = find_stream(id); stream != nullptr && stream->hooks_.on_writable_) {
            stream->hooks_.on_writable_();
        }
    }
}

/** Destroys closed streams from the event loop: a hook that closes its own stream must not be
 * destroyed while it runs. */
void h2_connection::state::schedule_closed_streams_cleanup()
{
    if (closed_streams_.size() == 1) {
        QTimer::singleShot(0, socket_.get(), [weak = owner_->weak_from_this()] {
            if (const auto owner = weak.lock()) {
                owner->state_->closed_streams_.clear();
            }
        });
    }
}

void h2_connection::state::close_stream(stream_id stream, bool complete, bool refused)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return;
    }
    closed_streams_.push_back(std::move(found->second));
    auto& closed = *closed_streams_.back();
    streams_.erase(found);
    schedule_closed_streams_cleanup();
    if (side_ == side::client && (refused || !closed.headers_sent_) && closed.hooks_.on_refused_) {
        closed.hooks_.on_refused_();
    }
    if (closed.hooks_.on_closed_) {
        closed.hooks_.on_closed_(complete);
    }
}

void h2_connection::state::end(connection_end_reason reason)
{
    if (ended_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    ended_ = true;
    timer_.stop();
    if (reason == connection_end_reason::closed_by_us && connected_ && !inside_nghttp2_) {
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
        on_ended(reason);
    }
}

auto h2_connection::state::attach_body(stream_id stream) -> nghttp2_data_provider
{
    nghttp2_data_provider provider{};
    provider.source.ptr = find_stream(stream);
    provider.read_callback = internal::provide_stream_body;
    return provider;
}

} // namespace sycamorewinch
