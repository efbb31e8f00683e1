/** \file
 * Maps between the system's view of a call and the header fields that callers and targets use.
 *
 * A deployment may replace the default field names. The header fields between two nodes are the
 * same with every mapping.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "request_path/exchange.h"
#include "request_path/target_notice.h"

namespace sycamorewinch {

/** What the header fields of a request say about the call. */
struct call_metadata {
    std::string host_;
    std::string caller_; ///< The client whose limits apply; empty: callers are not distinguished.
    std::string origin_; ///< The service that the caller's node runs beside; may be empty.
    std::string request_id_; ///< Identifies the request in logs; may be empty.
    std::string api_key_;    ///< As presented by the caller; must not be logged or passed on.
    std::optional<std::chrono::milliseconds> time_allowed_;
    bool is_retry_ = false; ///< The call belongs to a retried call.
};

/** How a response received from a target's address relates to the request. */
enum class response_kind : std::uint8_t {
    genuine, ///< The target's response to this request.
    not_run, ///< The target states that it has not run the request and will not run it.
    /** The same statement, but the response does not say to which request. */
    unattributed_not_run,
    mismatched, ///< The response to another request, or sent by something other than the target.
};

/** Reads and writes the header fields that the system interprets. */
struct header_mapping {
    std::function<call_metadata(const message_head& request)> read_metadata_;
    /** Removes what only the system may know or state of a caller's identity: its API key, and
     * any field that names an organisation to the target. */
    std::function<void(header_list& fields)> remove_identity_headers_;
    /** Sets the header fields of \p request that the target reads, such as the deadline. */
    std::function<void(header_list& fields, const exchange_request& request)> write_target_headers_;
    std::function<response_kind(const exchange_request& request, const message_head& response)>
        classify_response_;
    /** Reads what the target says about itself in a response; returns nothing if the response was
     * sent by something other than the target. */
    std::function<std::optional<target_notice>(const message_head& response)> read_target_notice_;
    /** Removes the header fields that a target may not set in a response. */
    std::function<void(header_list& fields)> strip_response_headers_;
    /** Describes \p refusal to the caller in the head of \p response; may change its status. */
    std::function<void(message_head& response, const refusal& refusal)> write_refusal_;
};

/** Returns the API key in the header field \p name. Several such fields are joined as a list, which
 * no valid key equals. */
[[nodiscard]] auto read_api_key(const header_list& fields, std::string_view name) -> std::string;

/** Removes the field \p name in every spelling that a target may take for it: some treat an
 * underscore as a hyphen. */
void remove_header_spellings(header_list& fields, std::string_view name);

/** Returns the default mapping, which uses the `sycamorewinch-` header fields. */
[[nodiscard]] auto native_header_mapping() -> header_mapping;

} // namespace sycamorewinch
