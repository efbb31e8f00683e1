/** \file
 * How a call's request and answer are written as HTTP/2 header fields between two nodes.
 */
#pragma once

#include <optional>

#include "request_path/exchange.h"
#include "transport/header_list.h"

namespace sycamorewinch {

/** The refusal header, also shown to callers. */
constexpr std::string_view refusal_header = "sycamorewinch-refusal";
/** Whether a refused request was run: `not-run` or `unknown`. */
constexpr std::string_view outcome_header = "sycamorewinch-outcome";
/** The caller's name, sent by the caller. */
constexpr std::string_view caller_header = "sycamorewinch-caller";
/** The time left until the deadline in milliseconds, sent along over up to 6 calls. */
constexpr std::string_view deadline_header = "sycamorewinch-deadline-ms";

/** Marks a request that belongs to a retried call; targets pass it on with the deadline. */
constexpr std::string_view retry_mark_header = "sycamorewinch-retry";

/** Returns the fields of \p request for another node. */
[[nodiscard]] auto to_peer_headers(const exchange_request& request) -> header_list;
/** Reads a request back from another node's fields. */
[[nodiscard]] auto from_peer_headers(const header_list& headers, bool last) -> exchange_request;

/** How the target is doing, with each answer and refusal. */
constexpr std::string_view status_header = "sycamorewinch-target-status";

/** Returns the fields of an answer. */
[[nodiscard]] auto to_peer_response(const message_head& head) -> header_list;
/** Returns the fields of a refusal. */
[[nodiscard]] auto to_peer_refusal(const refusal& refusal) -> header_list;
/** Reads a refusal back; nothing when the fields are those of an answer. */
[[nodiscard]] auto from_peer_refusal(const header_list& headers) -> std::optional<refusal>;
/** Reads an answer back. */
[[nodiscard]] auto from_peer_response(const header_list& headers, bool last) -> message_head;

/** Removes the fields that only the system may set, so that no target can pretend to be it. */
void remove_system_headers(header_list& headers);

} // namespace sycamorewinch
