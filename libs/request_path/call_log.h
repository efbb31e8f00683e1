/** \file
 * The log lines of one call: what its node decided, with the inputs that decided it.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"
#include "policy/refusal.h"

namespace sycamorewinch {

/** What was decided about a call. */
enum class call_event : std::uint8_t {
    refused,   ///< The node answers it itself.
    retried,   ///< An attempt was refused or broke, and another one follows.
    cut,       ///< Its answer broke off after it had begun.
    abandoned, ///< The caller has gone.
};

/** Names of the events in logs. */
constexpr enum_names<call_event, 4> call_event_names{
    {"call_refused", "call_retried", "call_cut", "call_abandoned"}};

/** What is known of a call when something is decided about it. */
struct call_facts {
    std::string request_; ///< The caller's id of it; may be empty.
    std::string row_;     ///< The service of the row that it matched; empty: none.
    std::string service_;
    std::string target_; ///< Of the last attempt; empty: none.
    std::uint32_t priority_ = 0;
    unsigned attempts_ = 0;
    unsigned reached_ = 0;      ///< Attempts that a target had, or may have had.
    std::size_t targets_ = 0;   ///< That could have been chosen.
    std::uint64_t version_ = 0; ///< Of the table that decided.
    duration age_{0};           ///< Since the call's header arrived.
};

/** Writes the line of \p event. \p reason and \p outcome are of the attempt that led to it. */
void log_call(call_event event, const call_facts& facts, std::string_view reason,
              request_outcome outcome);

} // namespace sycamorewinch
