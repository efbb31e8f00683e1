/** \file
 * The reasons for refusing a call, and what the caller is told for each: the HTTP status, whether
 * the request was run, and when to retry.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorewinch {

/** The reasons for refusing a call. */
enum class refusal_reason : std::uint8_t {
    no_route,                ///< No row has a matching path prefix.
    table_not_proved,        ///< This node has no proof yet that its table is current.
    no_target,               ///< No target of the service is available.
    target_draining,         ///< The chosen target is draining.
    target_full,             ///< All slots of the chosen target are in use.
    target_rate_limited,     ///< The chosen target gets as many requests per second as it takes.
    rate_limited,            ///< The caller exceeds its rate limit.
    concurrency_limited,     ///< The caller is at its limit of requests in flight.
    target_unreachable,      ///< No connection to the target or the node beside it.
    target_failed,           ///< The target failed after the request was sent to it.
    deadline_passed,         ///< The deadline passed before a response.
    bad_request,             ///< The request is malformed.
    header_too_large,        ///< The request header exceeds the size limit.
    body_too_large,          ///< The request body exceeds the size limit.
    shutting_down,           ///< This node is shutting down.
    overloaded,              ///< This node sheds load.
    record_unreachable,      ///< No quorum confirmed that the request may run.
    record_full,             ///< No space to record another non-repeatable request.
    run_in_progress,         ///< A request with this idempotency key is running.
    run_outcome_unknown,     ///< The key may have run; the outcome cannot be determined.
    run_outcome_dropped,     ///< The key has run; its response is no longer stored.
    key_reused,              ///< The idempotency key was used for a different request.
    request_crashes_targets, ///< It crashed the maximum number of targets per request.
    not_started_in_time,     ///< The time ended before a byte was sent to a target.
    unknown_api_key,         ///< No organisation of the table holds the caller's API key.
    quota_exceeded,          ///< The organisation is over its quota.
    quota_unavailable,       ///< No node could say whether the organisation is within its quota.
};

constexpr std::size_t refusal_reason_count = 27;

/** Whether a refused request was run. */
enum class request_outcome : std::uint8_t {
    not_run, ///< No target has run it, and none will.
    unknown, ///< A target may have run it.
    ran,     ///< A target has run it, whether or not its response is still stored.
};

/** What a caller is told for one refusal reason. */
struct refusal_description {
    std::string_view name_;
    unsigned status_;              ///< HTTP status.
    unsigned retry_after_seconds_; ///< 0: no Retry-After header.
    request_outcome outcome_;      ///< Default, if the call has no more precise outcome.
};

/** Returns what a caller is told for \p reason. */
[[nodiscard]] auto describe(refusal_reason reason) -> const refusal_description&;

/** Returns whether \p reason says that the target takes no further request at present, but may take
 * one later. */
[[nodiscard]] auto is_lack_of_room(refusal_reason reason) -> bool;

/** Returns the name of \p reason, as in the refusal header and the metric label. */
[[nodiscard]] auto name_of(refusal_reason reason) -> std::string_view;

/** Returns the reason named \p name; nothing if there is none. */
[[nodiscard]] auto parse_refusal_reason(std::string_view name) -> std::optional<refusal_reason>;

/** Returns `not-run`, `unknown` or `ran`. */
[[nodiscard]] auto name_of(request_outcome outcome) -> std::string_view;

/** Returns the outcome named \p name; request_outcome::unknown for any other text. */
[[nodiscard]] auto parse_request_outcome(std::string_view name) -> request_outcome;

} // namespace sycamorewinch
