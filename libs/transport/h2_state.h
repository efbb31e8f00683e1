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
#include <nghttp2/nghttp2.h>

#include "event_loop/deadline_timer.h"
#include "transport/h2_connection.h"

namespace sycamorewinch {

namespace internal {

/** The on_writable_ hook is called when a stream's queued bytes fall to this limit or below. */
constexpr std::size_t stream_low_water_bytes = 8U * 1024;

/** One stream: its hooks, the header fields being received and the body bytes to be sent. */
struct stream_state {
    explicit stream_state(resource_guard* guard) : charge_(guard) {}

    stream_hooks hooks_;
    header_list headers_;               ///< Fields received so far of an incomplete header block.
    std::size_t header_bytes_ = 0;      ///< Total length of the names and values received.
    bool request_delivered_ = false;    ///< On the server side: on_request_ has been called.
    std::string outgoing_;              ///< Body bytes queued by write().
    std::size_t outgoing_consumed_ = 0; ///< Bytes of outgoing_ passed to nghttp2.
    bool outgoing_is_end_ = false;      ///< outgoing_ ends the body.
    bool data_is_deferred_ = false;     ///< nghttp2 asks for no body bytes until it is resumed.
    bool headers_sent_ = false;         ///< Our HEADERS frame was written to the socket.
    bool has_data_provider_ = false;    ///< nghttp2 has a data provider for our body.
    bool peer_ended_stream_ = false;    ///< The peer sent END_STREAM.
    bool all_body_submitted_ = false;   ///< All of our body was passed to nghttp2.
    bool was_above_low_water_ = false;  ///< The stream is listed in above_low_water_.
    bool is_reset_ = false;             ///< RST_STREAM was submitted.

    [[nodiscard]] auto unsent_bytes() const -> std::size_t
    {
        return outgoing_.size() - outgoing_consumed_;
    }
    /** Drops \p count unsent bytes. Their memory is freed, at the latest when half of outgoing_ has
     * been consumed: the writer of a long body may always be ahead of the connection. */
    void consume_outgoing(std::size_t count);
    /** Queues \p bytes to be sent. */
    void add_outgoing(std::string_view bytes);
    /** Drops all unsent bytes, without ending the body. */
    void drop_outgoing()
    {
        outgoing_is_end_ = false;
        consume_outgoing(unsent_bytes());
    }

  private:
    memory_charge charge_; ///< For outgoing_.
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
    /** Closed streams; freed later, because one of their hooks may still be running. */
    std::vector<std::unique_ptr<internal::stream_state>> closed_streams_;
    /** Streams above the low-water mark; on_writable_ is called when they fall to it. */
    std::vector<stream_id> above_low_water_;
    std::optional<connection_end_reason> close_after_flush_;
    /** For PINGs and for the heartbeat, idle and linger timeouts. */
    deadline_timer timer_{[this] {
        on_timer();
    }};
    QElapsedTimer since_last_receive_;
    QElapsedTimer since_unanswered_ping_; ///< Valid from a PING until the next bytes arrive.
    /** Returns whether the connection has no streams and is closed after idle_timeout_, without
     * PINGs and without the heartbeat timeout heartbeat_timeout_. */
    [[nodiscard]] auto idle_timeout_applies() const -> bool
    {
        return limits_.idle_timeout_.count() > 0 && connected_ && streams_.empty();
    }
    bool connected_ = false;       ///< The socket can be written to.
    bool ended_ = false;           ///< end() was called.
    bool goaway_sent_ = false;     ///< We sent GOAWAY.
    bool goaway_received_ = false; ///< The peer sent GOAWAY.
    /** GOAWAY and all queued bytes are sent; the connection waits for the peer to close it. */
    bool awaiting_peer_close_ = false;
    /** Set during a call into nghttp2; flush() does nothing until that call has returned. */
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
    void check_heartbeat();
    void send_ping();
    /** Returns how long the peer may take to answer a PING. */
    [[nodiscard]] auto ping_timeout() const -> std::chrono::milliseconds;
    [[nodiscard]] auto has_unread_bytes() const -> bool;
    /** Handles a socket that was closed or failed. */
    void on_socket_closed(connection_end_reason reason);
    void arm_timer();
    void flush();
    void await_peer_close();
    void notify_writable();
    void schedule_closed_streams_cleanup();
    void end(connection_end_reason reason);
    /** Closes a stream. \p complete: the peer's message ended without an error. \p refused: the
     * stream was closed with REFUSED_STREAM, so the peer has not processed the request. */
    void close_stream(stream_id stream, bool complete, bool refused);
    auto attach_body(stream_id stream) -> nghttp2_data_provider;
};

} // namespace sycamorewinch
