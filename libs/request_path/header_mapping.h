/** \file
 * How the system's own words stand in the header fields of callers and targets.
 *
 * A deployment may use other field names than the product's own. What travels between two nodes is
 * the same in every dialect.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "request_path/exchange.h"

namespace sycamorewinch {

/** What a caller says of its call beside the request itself. */
struct call_metadata {
    std::string host_;
    std::string caller_;     ///< Whose limits apply; empty: callers are not told apart.
    std::string origin_;     ///< The service beside the caller's node; may be empty.
    std::string request_id_; ///< Names the request in logs; may be empty.
    std::optional<std::chrono::milliseconds> time_allowed_;
    bool is_retry_ = false; ///< The call belongs to a retried call.
};

/** What an answer from a target's address is. */
enum class response_kind : std::uint8_t {
    genuine,    ///< The target's own answer to this request.
    not_run,    ///< The target says that it has not run the request and will not.
    mismatched, ///< Not the answer to this request, or not the target's.
};

/** Reads and writes the header fields that concern the system. */
struct header_mapping {
    std::function<call_metadata(const message_head& request)> read_metadata_;
    /** Puts what the target must know into the fields of a request. */
    std::function<void(header_list& fields, const exchange_request& request)> write_target_headers_;
    std::function<response_kind(const exchange_request& request, const message_head& answer)>
        classify_response_;
    /** Removes the fields that no target may set in an answer. */
    std::function<void(header_list& fields)> strip_response_headers_;
    /** Puts what a caller is told of \p refusal into the head of an answer. */
    std::function<void(message_head& answer, const refusal& refusal)> write_refusal_;
};

/** Returns the product's own dialect. */
[[nodiscard]] auto native_header_mapping() -> header_mapping;

} // namespace sycamorewinch
