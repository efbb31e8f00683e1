/** \file
 * Why a call is refused, and what the caller is told: the HTTP status, whether the request was run,
 * and when to come back.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorewinch {

/** The reasons for refusing a call. */
enum class refusal_reason : std::uint8_t {
    no_route,                ///< No row's path prefix matches.
    table_not_proved,        ///< This node has not yet proved its table current.
    no_target,               ///< No target of the service may take work now.
    target_draining,         ///< The chosen target is leaving.
    target_full,             ///< All slots of the chosen target are taken.
    rate_limited,            ///< The caller's rate is used up.
    concurrency_limited,     ///< The caller has as many requests in flight as it may.
    target_unreachable,      ///< The target, or the node beside it, could not be reached.
    target_failed,           ///< The target broke off after it was given the request.
    deadline_passed,         ///< The deadline came first.
    bad_request,             ///< The request is malformed.
    header_too_large,        ///< The request's header passes the limit.
    body_too_large,          ///< The request's body passes the limit.
    shutting_down,           ///< This node is leaving.
    overloaded,              ///< This node sheds load.
    record_unreachable,      ///< No quorum could say whether the request may run.
    record_full,             ///< There is no room to record another unrepeatable request.
    run_in_progress,         ///< The same idempotency key is being run.
    run_outcome_unknown,     ///< The key may have run; its outcome will never be known.
    run_outcome_dropped,     ///< The key has run; its answer is no longer kept.
    key_reused,              ///< The idempotency key belongs to another request.
    request_crashes_targets, ///< It has ended as many targets as one request may.
};

constexpr std::size_t refusal_reason_count = 22;

/** What is known of a refused request. */
enum class request_outcome : std::uint8_t {
    not_run, ///< No target has run it or will.
    unknown, ///< A target may have run it.
    ran,     ///< A target has run it, whether or not its answer is still kept.
};

/** What a caller is told for one reason. */
struct refusal_description {
    std::string_view name_;
    unsigned status_;              ///< HTTP status.
    unsigned retry_after_seconds_; ///< 0: no such header.
    request_outcome outcome_;      ///< Unless the call itself knows better.
};

/** Returns what a caller is told for \p reason. */
[[nodiscard]] auto describe(refusal_reason reason) -> const refusal_description&;

/** Returns the name of \p reason, as in the refusal header and the counters' label. */
[[nodiscard]] auto name_of(refusal_reason reason) -> std::string_view;

/** Returns the reason called \p name. */
[[nodiscard]] auto parse_refusal_reason(std::string_view name) -> std::optional<refusal_reason>;

/** Returns `not-run`, `unknown` or `ran`. */
[[nodiscard]] auto name_of(request_outcome outcome) -> std::string_view;

/** Returns the outcome called \p name; anything else is unknown. */
[[nodiscard]] auto parse_request_outcome(std::string_view name) -> request_outcome;

} // namespace sycamorewinch
