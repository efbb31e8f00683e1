/** \file
 * One HTTP/2 connection between two processes of the system: an nghttp2 session over a Qt socket.
 *
 * A connection belongs to the event loop of one thread. It sends a PING when nothing has arrived
 * for the ping interval, and ends when nothing has arrived for the heartbeat timeout, so that an
 * unresponsive connection is not reused. Received body bytes count against the flow-control window
 * until consume() releases them, which gives back pressure.
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
#include "resources/resource_guard.h"
#include "transport/header_list.h"

class QTcpSocket;

namespace sycamorewinch {

/** Identifies a stream within its connection. */
using stream_id = std::int32_t;

/** Why a connection ended. */
enum class connection_end_reason : std::uint8_t {
    closed_by_us,
    closed_by_peer,
    refused,        ///< The connection could not be established.
    silent,         ///< Nothing arrived within the heartbeat timeout.
    protocol_error, ///< The peer violated HTTP/2 or a size limit.
    unauthorized,   ///< The peer did not prove the cluster key.
    other_version,  ///< The peer uses another protocol_version.
    not_ready,      ///< The handshake did not finish within the handshake timeout.
};

/** Names for logs and for the reason label of metrics. */
constexpr enum_names<connection_end_reason, 8> connection_end_reason_names{
    {"closed_by_us", "closed_by_peer", "refused", "silent", "protocol_error", "unauthorized",
     "other_version", "not_ready"}};

/** Callbacks of one stream. Unset hooks are skipped. */
struct stream_hooks {
    /** Header fields arrived (client: of the response); \p last when no body follows. */
    std::function<void(const header_list& headers, bool last)> on_headers_;
    /** Body bytes arrived; release them with consume() once they are processed. */
    std::function<void(std::string_view bytes)> on_data_;
    /** The peer ended its side of the stream. */
    std::function<void()> on_end_;
    /** The bytes queued by write() have drained to the low-water mark of 32 KiB. */
    std::function<void()> on_writable_;
    /** Client: it is certain that the peer has not processed the request and will not (it was
     * never sent, or REFUSED_STREAM was received). on_closed_ follows. */
    std::function<void()> on_refused_;
    /** The stream is closed; \p complete when it closed without an error after the peer had ended
     * its side. Always the last call. */
    std::function<void(bool complete)> on_closed_;
};

/** Callbacks of a connection. */
struct connection_hooks {
    /** Server: the header fields of a request arrived. Returns the hooks for its stream. */
    std::function<stream_hooks(stream_id stream, const header_list& headers, bool last)>
        on_request_;
    /** The connection ended, after every stream was closed. Called once. */
    std::function<void(connection_end_reason end)> on_ended_;
};

/** Limits and timers of a connection. */
struct connection_limits {
    /** Time without received bytes before a PING is sent. */
    std::chrono::milliseconds ping_interval_{2'000};
    /** Time without received bytes before the connection ends. Of it, the peer has at least what
     * lies beyond ping_interval_ to answer a PING, even if this event loop sent it late. */
    std::chrono::milliseconds heartbeat_timeout_{6'000};
    /** Time to connect and to prove the cluster key. */
    std::chrono::milliseconds handshake_timeout_{3'000};
    /** Ends a connection that has no streams and has received nothing for this time; no PING is
     * sent while it has no streams. 0 keeps such connections and checks them by PINGs. */
    std::chrono::milliseconds idle_timeout_{0};
    /** How long a connection that has sent everything after begin_shutdown() waits for the peer to
     * close it, which a peer does as soon as its last stream has ended. */
    std::chrono::milliseconds linger_timeout_{1'000};
    std::uint32_t max_concurrent_streams_ = 1'000; ///< Accepted from the peer.
    std::uint32_t window_bytes_ = 256U * 1024;     ///< Receive window of one stream.
    std::size_t max_header_bytes_ = 32U * 1024;    ///< Header names and values on one stream.
    resource_guard* guard_ = nullptr; ///< Of the event loop; null: what is held is not counted.
};

/** The client or server end of one HTTP/2 connection. */
class h2_connection : public std::enable_shared_from_this<h2_connection> {
  public:
    enum class side : std::uint8_t { client, server };

    /** Takes ownership of \p socket, which is connected or (client) connecting. */
    [[nodiscard]] static auto create(side side, std::unique_ptr<QTcpSocket> socket,
                                     connection_hooks hooks, connection_limits limits = {})
        -> std::shared_ptr<h2_connection>;

    h2_connection(const h2_connection&) = delete;
    auto operator=(const h2_connection&) -> h2_connection& = delete;
    h2_connection(h2_connection&&) = delete;
    auto operator=(h2_connection&&) -> h2_connection& = delete;
    ~h2_connection();

    /** Client: starts a request; \p last when no body follows. Error unavailable: the connection is
     * closed or no stream can be opened. */
    [[nodiscard]] auto request(const header_list& headers, bool last, stream_hooks hooks)
        -> result<stream_id>;
    /** Server: sends the header fields of the response; \p last when no body follows. */
    void respond(stream_id stream, const header_list& headers, bool last);
    /** Queues body bytes; \p last ends our side of the stream. */
    void write(stream_id stream, std::string_view bytes, bool last);
    /** Returns the number of queued body bytes that are not yet written to the socket. */
    [[nodiscard]] auto queued_bytes(stream_id stream) const -> std::size_t;
    /** Returns \p count received body bytes to the flow-control window. */
    void consume(stream_id stream, std::size_t count);
    /** Resets a stream (CANCEL); its on_closed_ hook follows. */
    void reset(stream_id stream);
    /** Client: resets a stream if no byte of its request has been passed to the socket, so that the
     * peer never sees it. Returns false, without effect, if the request may have been sent. */
    auto reset_if_unsent(stream_id stream) -> bool;
    /** Ends the connection at once. */
    void close(connection_end_reason end = connection_end_reason::closed_by_us);
    /** Ends the connection once all queued output has been sent. */
    void close_after_flush(connection_end_reason end);
    /** Server: sends GOAWAY, finishes the requests in progress, then waits for the client to close
     * the connection. If the server closed it while requests are unread, TCP would reset the
     * connection, and responses that the client has not read yet would be lost. */
    void begin_shutdown();

    [[nodiscard]] auto is_open() const -> bool;
    /** Client: returns whether a request may be started; false after a GOAWAY of the peer. */
    [[nodiscard]] auto accepts_requests() const -> bool;
    [[nodiscard]] auto open_streams() const -> std::size_t;
    /** Returns the time since bytes last arrived. */
    [[nodiscard]] auto time_since_receive() const -> std::chrono::milliseconds;
    /** Return the bytes received and sent on the socket so far. */
    [[nodiscard]] auto bytes_received() const -> std::uint64_t;
    [[nodiscard]] auto bytes_sent() const -> std::uint64_t;

    /** The implementation, declared in h2_state.h. */
    struct state;

  private:
    h2_connection();

    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
