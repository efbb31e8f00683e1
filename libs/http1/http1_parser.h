/** \file
 * Incremental parsing of HTTP/1.1 messages by Boost.Beast, without its sockets.
 *
 * One parser takes one message. Body bytes are handed on as they come; nothing is buffered but an
 * unfinished header. Fields that belong to one hop are removed from the head. Refused as malformed:
 * more than one length, a transfer coding other than chunked, a request without exactly one Host
 * (HTTP/1.1), CONNECT, a target that is neither a path nor an http:// URL, and an expectation other
 * than 100-continue.
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
#include "transport/header_list.h"

namespace sycamorewinch {

/** The start line and header fields of a request or a response. */
struct message_head {
    std::string method_;  ///< Requests.
    std::string path_;    ///< Requests: the target, with its query.
    unsigned status_ = 0; ///< Responses.
    header_list headers_; ///< Names in lower case.
    bool has_body_ = false;
    std::optional<std::uint64_t> content_length_; ///< Unset: chunked, or until the end.
    bool keep_alive_ = true;
    /** Responses: how long the other end keeps an idle connection, where it says so. */
    std::optional<std::chrono::seconds> keep_alive_time_;
    bool is_http_1_0_ = false;      ///< Requests: the caller speaks HTTP/1.0.
    bool expects_continue_ = false; ///< Requests: the caller waits for 100 before its body.
};

/** Limits on what is accepted. */
struct http1_limits {
    std::uint32_t header_bytes_ = 16U * 1024;
    std::uint64_t body_bytes_ = 8ULL * 1024 * 1024 * 1024;
    std::chrono::milliseconds header_timeout_{10'000}; ///< For a whole request header.
    std::chrono::milliseconds idle_timeout_{60'000};   ///< Between two requests.
    std::chrono::milliseconds linger_timeout_{2'000};  ///< For the last answer to be taken.
};

/** What a parser reports. */
struct http1_events {
    std::function<void(message_head head)> on_head_;
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_end_;
};

/** Why a message was refused. */
enum class http1_problem : std::uint8_t {
    none,
    malformed,
    header_too_large,
    body_too_large,
    cut_short
};

/** Parses one message. */
class http1_parser {
  public:
    /** A parser of a request. */
    [[nodiscard]] static auto for_request(http1_limits limits, http1_events events) -> http1_parser;
    /** A parser of the response to a request with \p method. */
    [[nodiscard]] static auto for_response(std::string_view method, http1_limits limits,
                                           http1_events events) -> http1_parser;
    http1_parser(const http1_parser&) = delete;
    auto operator=(const http1_parser&) -> http1_parser& = delete;
    http1_parser(http1_parser&&) noexcept;
    auto operator=(http1_parser&&) noexcept -> http1_parser&;
    ~http1_parser();

    /** Takes bytes and returns how many were used; the rest must be offered again with more. Stops
     * at the end of the message. */
    auto feed(std::string_view bytes) -> std::size_t;

    /** The peer closed its side. A message that may end so is finished; another is cut short. */
    void feed_end();

    [[nodiscard]] auto is_done() const -> bool;
    [[nodiscard]] auto has_started() const -> bool;
    /** Returns whether the body lasts until the connection's end. */
    [[nodiscard]] auto needs_end() const -> bool;
    [[nodiscard]] auto problem() const -> http1_problem;

  private:
    struct state;
    explicit http1_parser(std::unique_ptr<state> state);
    std::unique_ptr<state> state_;
};

/** Returns the start line and header of a request as bytes. */
[[nodiscard]] auto write_request_head(const message_head& head) -> std::string;
/** Returns the status line and header of a response as bytes. */
[[nodiscard]] auto write_response_head(const message_head& head) -> std::string;
/** Returns one chunk of a chunked body. */
[[nodiscard]] auto write_chunk(std::string_view bytes) -> std::string;
/** The end of a chunked body. */
constexpr std::string_view last_chunk = "0\r\n\r\n";

/** Returns whether every part of \p head can be written without changing the message's shape: no
 * control bytes, no space in method or target, names made of token characters. */
[[nodiscard]] auto is_writable(const message_head& head) -> bool;
/** Removes the fields whose name or value is_writable() would refuse. */
void remove_unwritable(header_list& headers);

/** Removes the fields that belong to one hop: Connection and what it names, and the like. */
void remove_hop_headers(header_list& headers);

} // namespace sycamorewinch
