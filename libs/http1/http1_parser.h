/** \file
 * Incremental HTTP/1.1 message parser and serializer. Wraps Boost.Beast's parser without its I/O.
 *
 * A parser parses one message. Body bytes are passed on as they arrive; only an incomplete header
 * is buffered. The limit of the header also applies to each chunk line and to the trailers.
 * Hop-by-hop header fields are removed from the head. Rejected as malformed: more than one length,
 * a transfer coding other than chunked, an HTTP/1.1 request without exactly one Host field,
 * CONNECT, a request target that is neither a path nor an http:// URL (OPTIONS may have
 * `*`), an expectation other than 100-continue, and a response whose status is neither interim nor
 * final.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "resources/resource_guard.h"
#include "transport/header_list.h"

namespace sycamorewinch {

/** The start line and header fields of a request or a response. */
struct message_head {
    std::string method_;  ///< Requests.
    std::string path_;    ///< Requests: path and query.
    unsigned status_ = 0; ///< Responses.
    header_list headers_; ///< Names in lower case.
    bool has_body_ = false;
    std::optional<std::uint64_t> content_length_; ///< Unset: chunked, or until the peer closes.
    bool keep_alive_ = true;
    /** Responses: how long the target keeps an idle connection (Keep-Alive header), if stated. */
    std::optional<std::chrono::seconds> keep_alive_time_;
    bool is_http_1_0_ = false;      ///< Requests: the caller uses HTTP/1.0.
    bool expects_continue_ = false; ///< Requests: body follows only after 100 Continue.
};

/** Size limits and timeouts for incoming messages. */
struct http1_limits {
    std::uint32_t header_bytes_ = 16U * 1024;
    std::uint64_t body_bytes_ = 8ULL * 1024 * 1024 * 1024;
    std::chrono::milliseconds header_timeout_{10'000}; ///< From first byte to the end.
    std::chrono::milliseconds idle_timeout_{60'000};   ///< Between two requests.
    std::chrono::milliseconds linger_timeout_{2'000};  ///< For the peer to read the last response.
    /** Longest gap between two reads of a request's body. Does not count while reading is paused.
     */
    std::chrono::milliseconds body_timeout_{30'000};
    resource_guard* guard_ = nullptr; ///< Of the event loop; null: no limits besides these.
};

/** Callbacks of a parser. */
struct http1_parser_hooks {
    std::function<void(message_head head)> on_head_;
    /** Body bytes: of chunks, all that one feed() has parsed, in one call. */
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_end_;
};

/** Returns whether \p status is that of an interim response, which another one follows. No request
 * asks for an upgrade, so 101 is none. */
[[nodiscard]] auto is_interim_status(unsigned status) -> bool;
/** Returns whether \p status is that of a final response. */
[[nodiscard]] auto is_final_status(unsigned status) -> bool;

/** Why a message was rejected. */
enum class http1_parse_error : std::uint8_t {
    none,
    malformed,
    header_too_large,
    body_too_large,
    truncated
};

/** Parses one message. */
class http1_parser {
  public:
    /** Creates a parser for a request. */
    [[nodiscard]] static auto for_request(http1_limits limits, http1_parser_hooks hooks)
        -> http1_parser;
    /** Creates a parser for the response to a request with \p method. */
    [[nodiscard]] static auto for_response(std::string_view method, http1_limits limits,
                                           http1_parser_hooks hooks) -> http1_parser;
    http1_parser(const http1_parser&) = delete;
    auto operator=(const http1_parser&) -> http1_parser& = delete;
    http1_parser(http1_parser&&) noexcept;
    auto operator=(http1_parser&&) noexcept -> http1_parser&;
    ~http1_parser();

    /** Parses \p bytes and returns how many were consumed; the caller must pass the rest again,
     * with more bytes after it. Passed without more bytes, it is not parsed again. Stops at the end
     * of the message. */
    auto feed(std::string_view bytes) -> std::size_t;

    /** Reports that the peer closed its sending side. This completes a message whose body lasts
     * until the connection closes; any other incomplete message is truncated. */
    void feed_eof();

    [[nodiscard]] auto is_done() const -> bool;
    [[nodiscard]] auto has_started() const -> bool;
    /** Returns whether the body lasts until the connection closes. */
    [[nodiscard]] auto body_ends_at_close() const -> bool;
    [[nodiscard]] auto parse_error() const -> http1_parse_error;

  private:
    struct state;
    explicit http1_parser(std::unique_ptr<state> state);
    std::unique_ptr<state> state_;
};

/** Returns the request line and header fields as bytes. */
[[nodiscard]] auto serialize_request_head(const message_head& head) -> std::string;
/** Returns the status line and header fields as bytes. */
[[nodiscard]] auto serialize_response_head(const message_head& head) -> std::string;
/** Encodes \p bytes as one chunk of a chunked body. */
[[nodiscard]] auto encode_chunk(std::string_view bytes) -> std::string;
/** The terminating chunk of a chunked body. */
constexpr std::string_view last_chunk = "0\r\n\r\n";

/** Returns whether \p head can be serialized without the risk of header injection: no control
 * bytes, no space in method or path, names made of token characters only. */
[[nodiscard]] auto has_valid_syntax(const message_head& head) -> bool;
/** Removes the fields whose name or value has_valid_syntax() would reject. */
void remove_invalid_headers(header_list& headers);

/** Removes the hop-by-hop header fields: Connection, the fields it names, Transfer-Encoding etc.
 * Host, Content-Length, Idempotency-Key and sycamorewinch-* stay even if Connection names them. */
void remove_hop_headers(header_list& headers);

} // namespace sycamorewinch
