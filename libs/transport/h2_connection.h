/** \file
 * One HTTP/2 connection between two processes of the system: nghttp2 sessions over a Qt socket.
 *
 * A connection lives in one thread's event loop. It sends a PING when the peer is quiet, and ends
 * when nothing arrives for the heartbeat timeout, so that a silent connection is not reused.
 * Received body bytes count against the peer's window until consume() releases them, which gives
 * back pressure.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/result.h"
#include "transport/header_list.h"

class QTcpSocket;

namespace sycamorewinch {

/** Identifies a stream within its connection. */
using stream_id = std::int32_t;

/** Why a connection ended. */
enum class connection_end : std::uint8_t {
    closed_by_us,
    closed_by_peer,
    refused,        ///< Could not be opened.
    silent,         ///< Nothing arrived for the heartbeat timeout.
    protocol_error, ///< The peer broke HTTP/2 or a size limit.
    unauthorized,   ///< The peer did not prove the cluster key.
    other_version,  ///< The peer speaks another version of the protocol.
    not_ready,      ///< The peer did not prove the key in time.
};

/** Names for logs and for the reason label of counters. */
constexpr enum_names<connection_end, 8> connection_end_names{
    {"closed_by_us", "closed_by_peer", "refused", "silent", "protocol_error", "unauthorized",
     "other_version", "not_ready"}};

/** What happens on one stream. Unset hooks are skipped. */
struct stream_hooks {
    /** Header fields arrived (a response, on the client's side); \p last when no body follows. */
    std::function<void(const header_list& headers, bool last)> on_headers_;
    /** Body bytes arrived; release them with consume() once they are dealt with. */
    std::function<void(std::string_view bytes)> on_data_;
    /** The peer finished its side. */
    std::function<void()> on_end_;
    /** Bytes queued by write() have drained below the low-water mark. */
    std::function<void()> on_writable_;
    /** Client: the peer has not begun with the request and will not, which is a fact. on_closed_
     * follows. */
    std::function<void()> on_refused_;
    /** The stream is gone; \p whole when both sides had finished. Always the last call. */
    std::function<void(bool whole)> on_closed_;
};

/** What happens on a connection. */
struct connection_hooks {
    /** Server: a request began. Returns the hooks of its stream. */
    std::function<stream_hooks(stream_id stream, const header_list& headers, bool last)>
        on_request_;
    /** The connection ended; every stream has been closed before. Called once. */
    std::function<void(connection_end end)> on_ended_;
};

/** Limits and timers of a connection. */
struct connection_limits {
    std::chrono::milliseconds ping_after_{2'000};   ///< Quiet time before a PING is sent.
    std::chrono::milliseconds silent_after_{6'000}; ///< Quiet time before the connection ends.
    std::chrono::milliseconds ready_within_{3'000}; ///< To connect and prove the cluster key.
    /** A connection without streams that was quiet for so long ends, and no PING is sent while it
     * has none; 0: it is kept, and watched by PINGs all the time. */
    std::chrono::milliseconds idle_after_{0};
    /** How long a connection that was shut down waits for the peer to close it, which a peer does
     * as soon as its last stream has ended. */
    std::chrono::milliseconds linger_{1'000};
    std::uint32_t streams_ = 1'000;            ///< Concurrent streams accepted.
    std::uint32_t window_bytes_ = 256U * 1024; ///< Receive window of one stream.
    std::size_t header_bytes_ = 32U * 1024;    ///< Header fields of one message.
};

/** One HTTP/2 connection, either side. */
class h2_connection : public std::enable_shared_from_this<h2_connection> {
  public:
    enum class side : std::uint8_t { client, server };

    /** Takes over \p socket, which is connected or (client) connecting. */
    [[nodiscard]] static auto create(side side, std::unique_ptr<QTcpSocket> socket,
                                     connection_hooks hooks, connection_limits limits = {})
        -> std::shared_ptr<h2_connection>;

    h2_connection(const h2_connection&) = delete;
    auto operator=(const h2_connection&) -> h2_connection& = delete;
    h2_connection(h2_connection&&) = delete;
    auto operator=(h2_connection&&) -> h2_connection& = delete;
    ~h2_connection();

    /** Client: starts a request. \p last when no body follows. */
    [[nodiscard]] auto request(const header_list& headers, bool last, stream_hooks hooks)
        -> result<stream_id>;
    /** Server: answers a request's stream. */
    void respond(stream_id stream, const header_list& headers, bool last);
    /** Queues body bytes; \p last ends our side of the stream. */
    void write(stream_id stream, std::string_view bytes, bool last);
    /** Returns how many queued body bytes are not yet handed to the socket. */
    [[nodiscard]] auto queued_bytes(stream_id stream) const -> std::size_t;
    /** Releases \p count received body bytes. */
    void consume(stream_id stream, std::size_t count);
    /** Ends a stream at once; its on_closed_ hook follows. */
    void reset(stream_id stream);
    /** Ends the connection. */
    void close(connection_end end = connection_end::closed_by_us);
    /** Ends the connection once what is queued has been sent. */
    void close_after_flush(connection_end end);
    /** Server: takes no further requests (GOAWAY), finishes those it has, then lets the client
     * close the connection: a close with requests unread would reset it, and answers that the
     * client has not read yet would be lost. */
    void begin_shutdown();

    [[nodiscard]] auto is_open() const -> bool;
    /** Client: returns whether a request may be started; false once the peer is shutting down. */
    [[nodiscard]] auto accepts_requests() const -> bool;
    /** Returns how many streams are open. */
    [[nodiscard]] auto open_streams() const -> std::size_t;
    /** Returns the time since bytes last arrived. */
    [[nodiscard]] auto quiet_time() const -> std::chrono::milliseconds;
    /** Returns the bytes received and sent so far on the socket. */
    [[nodiscard]] auto bytes_received() const -> std::uint64_t;
    [[nodiscard]] auto bytes_sent() const -> std::uint64_t;

    /** The machinery, known to the source file alone. */
    struct state;

  private:
    h2_connection();

    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
