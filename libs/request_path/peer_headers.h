/** \file
 * Encodes requests, responses and refusals as HTTP/2 header fields between two nodes, and defines
 * the header fields that callers and targets see.
 */
#pragma once

#include <optional>

#include "request_path/exchange.h"
#include "transport/header_list.h"

namespace sycamorewinch {

/** The reason for a refusal; sent to callers and between nodes. */
constexpr std::string_view refusal_header = "sycamorewinch-refusal";
/** The outcome of a refused request: `not-run` or `unknown`. */
constexpr std::string_view outcome_header = "sycamorewinch-outcome";
/** The caller's name, sent by the caller. */
constexpr std::string_view caller_header = "sycamorewinch-caller";
/** The time left until the deadline in milliseconds; passed on along a chain of up to 6 calls. */
constexpr std::string_view deadline_header = "sycamorewinch-deadline-ms";

/** Marks a request that is part of a retried call; targets pass it on with the deadline when they
 * make calls themselves. */
constexpr std::string_view retry_header = "sycamorewinch-retry";

/** The caller's API key, sent by the caller. Not passed on if the table has organisations. */
constexpr std::string_view api_key_header = "sycamorewinch-api-key";
/** The organisation whose API key the caller presented, sent to targets. */
constexpr std::string_view organisation_header = "sycamorewinch-organisation";

/** The requests per second that a target takes from all nodes together, stated in its responses. */
constexpr std::string_view target_limit_header = "sycamorewinch-target-limit";
/** Set to `1` in the responses of a target that is leaving. */
constexpr std::string_view target_leaving_header = "sycamorewinch-target-leaving";

/** Returns the header fields of \p request for another node. */
[[nodiscard]] auto to_peer_request(const exchange_request& request) -> header_list;
/** Reduces the times left in \p headers, as returned by to_peer_request(), by \p elapsed. */
void reduce_times_left(header_list& headers, std::chrono::milliseconds elapsed);
/** Reads a request from another node's header fields; \p ends_stream: it has no body. */
[[nodiscard]] auto from_peer_request(const header_list& headers, bool ends_stream)
    -> exchange_request;

/** The target's load report (latency, load, slots and error rate), sent between nodes with each
 * response and refusal. */
constexpr std::string_view target_status_header = "sycamorewinch-target-status";

/** Returns the header fields of a message by which a node withdraws its request on \p stream of the
 * same connection: it asks not to send it to its target, or to cancel it if it was sent. The answer
 * is a refusal on that stream, whose outcome is `not-run` if no byte of the request was sent to the
 * target; none will be then. No caller's request can have these fields. */
[[nodiscard]] auto to_peer_withdrawal(std::int32_t stream) -> header_list;
/** Returns the stream that is withdrawn by a message with \p headers; nothing for any other
 * message. */
[[nodiscard]] auto from_peer_withdrawal(const header_list& headers) -> std::optional<std::int32_t>;

/** Returns the header fields of a response. */
[[nodiscard]] auto to_peer_response(const message_head& head) -> header_list;
/** Returns the header fields of a refusal. */
[[nodiscard]] auto to_peer_refusal(const refusal& refusal) -> header_list;
/** Reads a refusal; returns nothing if the fields are those of a response. */
[[nodiscard]] auto from_peer_refusal(const header_list& headers) -> std::optional<refusal>;
/** Reads a response; \p ends_stream: it has no body. */
[[nodiscard]] auto from_peer_response(const header_list& headers, bool ends_stream) -> message_head;

/** Removes the refusal, outcome and target status fields, which only the system may set, so that
 * neither a caller nor a target can forge them. */
void remove_system_headers(header_list& headers);

} // namespace sycamorewinch
