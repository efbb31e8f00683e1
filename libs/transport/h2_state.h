/** \file
 * The state of one HTTP/2 connection: its streams, nghttp2 session and socket. Private to the
 * implementation of h2_connection.
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

/** The on_writable_ hook is called when the queue of a stream has drained to this many bytes. */
constexpr std::size_t stream_low_water_bytes = 32U * 1024;

/** One stream: its hooks, the header fields being received and the body bytes to be sent. */
struct stream_state {
    stream_hooks hooks_;
    header_list headers_;            ///< Received so far, until the HEADERS frame is complete.
    std::size_t header_bytes_ = 0;   ///< Total length of the names and values received.
    bool request_delivered_ = false; ///< Server: on_request_ was called.
    std::string outgoing_;           ///< Body bytes queued by write().
    std::size_t outgoing_sent_ = 0;  ///< Bytes of outgoing_ that nghttp2 has taken.
    bool outgoing_last_ = false;     ///< outgoing_ ends the body.
    bool deferred_ = false;          ///< nghttp2 stopped asking for body bytes until resumed.
    bool headers_sent_ = false;      ///< The header fields were written to the socket.
    bool has_body_provider_ = false; ///< A data provider is attached.
    bool peer_end_stream_ = false;   ///< The peer sent END_STREAM.
    bool local_end_stream_ = false;  ///< All of our body was given to nghttp2.
    bool was_above_low_water_ = false;
};

} // namespace internal

/** The implementation of a connection. */
struct h2_connection::state {
    h2_connection* owner_ = nullptr;
    side side_ = side::client;
    std::unique_ptr<QTcpSocket> socket_;
    connection_hooks hooks_;
    connection_limits limits_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<stream_id, std::unique_ptr<internal::stream_state>> streams_;
    /** Closed streams, kept alive while one of their hooks may be running. */
    std::vector<std::unique_ptr<internal::stream_state>> closed_streams_;
    /** Streams whose on_writable_ hook is due once they have drained. */
    std::vector<stream_id> above_low_water_;
    std::optional<connection_end> end_after_flush_;
    QTimer timer_;
    QElapsedTimer since_receive_;
    /** Returns whether the idle timeout applies instead of PINGs and the heartbeat timeout. */
    [[nodiscard]] auto idle_timeout_applies() const -> bool
    {
        return limits_.idle_after_.count() > 0 && connected_ && streams_.empty();
    }
    bool connected_ = false;
    bool ended_ = false;
    bool goaway_sent_ = false;     ///< We sent GOAWAY.
    bool goaway_received_ = false; ///< The peer sent GOAWAY.
    bool lingering_ = false; ///< Everything is sent after GOAWAY; waits for the peer to close.
    /** A call into nghttp2 is running: flush() does nothing until the outermost call returns. */
    bool inside_nghttp2_ = false;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t bytes_sent_ = 0;

    auto find_stream(stream_id stream) -> internal::stream_state*
    {
        const auto found = streams_.find(stream);
        return found == streams_.end() ? nullptr : found->second.get();
    }

    void start();
    void make_session();
    void on_readable();
    void on_timer();
    /** Handles a socket that was closed or failed. */
    void on_socket_ended(connection_end reason);
    void arm_timer();
    void flush();
    void linger();
    void notify_writable();
    void schedule_closed_streams_cleanup();
    void end(connection_end end);
    void close_stream(stream_id stream, bool complete, bool refused);
    auto attach_body(stream_id stream) -> nghttp2_data_provider;
};

} // namespace sycamorewinch
