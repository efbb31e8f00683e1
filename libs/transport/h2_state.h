/** \file
 * What one HTTP/2 connection keeps: its streams, its nghttp2 session and its socket. Known to the
 * source files of h2_connection alone.
 */
#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <nghttp2/nghttp2.h>

#include "transport/h2_connection.h"

namespace sycamorewinch {

namespace internal {

/** Queued bytes of one stream below which its on_writable_ hook is called. */
constexpr std::size_t stream_low_water_bytes = 32U * 1024;

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

} // namespace internal

/** The connection's state and what it does with it. */
struct h2_connection::state {
    h2_connection* owner_ = nullptr;
    side side_ = side::client;
    std::unique_ptr<QTcpSocket> socket_;
    connection_hooks hooks_;
    connection_limits limits_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<stream_id, std::unique_ptr<internal::stream_state>> streams_;
    std::vector<std::unique_ptr<internal::stream_state>>
        closed_;                             ///< Kept while one of their hooks may run.
    std::vector<stream_id> above_low_water_; ///< Streams that owe an on_writable_.
    std::optional<connection_end> end_after_flush_;
    QTimer timer_;
    QElapsedTimer quiet_;
    [[nodiscard]] auto is_idle() const -> bool
    {
        return limits_.idle_after_.count() > 0 && connected_ && streams_.empty();
    }
    bool connected_ = false;
    bool ended_ = false;
    bool going_away_ = false;      ///< We sent GOAWAY.
    bool peer_is_leaving_ = false; ///< The peer sent GOAWAY.
    bool lingering_ = false;       ///< All is sent: the peer is to close the connection.
    bool busy_ = false; ///< Inside nghttp2: output waits until the outermost call returns.
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;

    auto find(stream_id stream) -> internal::stream_state*
    {
        const auto found = streams_.find(stream);
        return found == streams_.end() ? nullptr : found->second.get();
    }

    void start();
    void make_session();
    void on_readable();
    void on_timer();
    /** The socket has ended. */
    void on_lost(connection_end reason);
    void arm_timer();
    void flush();
    void linger();
    void tell_writable();
    void drop_closed_later();
    void end(connection_end end);
    void close_stream(stream_id stream, bool whole, bool refused);
    auto attach_body(stream_id stream) -> nghttp2_data_provider;
};

} // namespace sycamorewinch
