/** \file
 * Log events for the decisions that a node makes about one call, with the inputs of each decision.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"
#include "policy/refusal.h"

namespace sycamorewinch {

/** A decision about a call, or its early end. */
enum class call_event : std::uint8_t {
    refused,   ///< The node responds with a refusal.
    retried,   ///< An attempt was refused or failed, and another one follows.
    cut,       ///< The response broke off after part of it was passed on.
    abandoned, ///< The caller disconnected.
};

/** The event names in logs. */
constexpr enum_names<call_event, 4> call_event_names{
    {"call_refused", "call_retried", "call_cut", "call_abandoned"}};

/** The state of a call at the time of the event. */
struct call_log_fields {
    std::string request_; ///< The caller's request id; may be empty.
    std::string row_;     ///< The service of the row that matched; empty: none.
    std::string service_;
    std::string organisation_; ///< Whose API key the caller presented; empty: none.
    std::string target_;       ///< Of the last attempt; empty: none.
    std::uint32_t priority_ = 0;
    unsigned attempts_ = 0;
    unsigned reached_ = 0;      ///< Attempts that a target has or may have received.
    std::size_t targets_ = 0;   ///< Targets of the service that could be chosen.
    std::uint64_t version_ = 0; ///< Version of the table that the call is routed by.
    duration time_allowed_{0};  ///< From the arrival of the call's header; 0: not yet known.
    duration age_{0};           ///< Time since the call's header arrived.
};

/** Logs \p event. \p reason and \p outcome describe the attempt that led to it. */
void log_call(call_event event, const call_log_fields& fields, std::string_view reason,
              request_outcome outcome);

} // namespace sycamorewinch
