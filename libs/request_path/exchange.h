/** \file
 * The interface of one attempt of a call, either with a target beside this node or through another
 * node.
 *
 * The initiator of an exchange receives its controls and is notified of the response by hooks.
 * Unless the exchange is cancelled, exactly one of on_end_, on_refused_ and on_truncated_ is
 * called, as the last hook.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http1/http1_parser.h"
#include "policy/refusal.h"
#include "policy/target_load_report.h"

namespace sycamorewinch {

/** A request to one target. */
struct exchange_request {
    message_head head_;
    std::string service_;
    std::string target_;
    std::string caller_;       ///< The client whose limits apply; empty: none.
    std::string origin_;       ///< The service that the caller's node runs beside; may be empty.
    std::string organisation_; ///< Whose API key the caller presented; empty: none.
    std::chrono::milliseconds time_left_{0}; ///< Until the call's deadline.
    /** Time that a refusal needs to reach the caller's node: a request that has not been sent to
     * its target by then is refused before the deadline. */
    std::chrono::milliseconds refusal_delay_{0};
    std::chrono::milliseconds latency_budget_{0}; ///< Until the row's target latency is exceeded.
    /** No other target will be tried, so a longer wait for a slot is better than a refusal. */
    bool is_last_choice_ = false;
    std::uint32_t priority_ = 0; ///< Lower values get free slots first; 0 is the most urgent.
    bool repeatable_ = false;    ///< The request may run more than once.
    /** The request rate that the target has stated, as the initiator was told, in thousandths of a
     * request per second. The node beside the target may have restarted since. */
    std::optional<std::uint32_t> known_rate_limit_;
    bool is_retry_ = false; ///< A further attempt of its call, or part of a retried call.
    /** An earlier attempt of the call went to the same target, whose answer to it may come again.
     */
    bool repeats_at_target_ = false;
};

/** A refusal, with what is known about the request's execution. */
struct refusal {
    refusal_reason reason_ = refusal_reason::no_target;
    request_outcome outcome_ = request_outcome::unknown;
    bool reached_target_ = false; ///< The target has or may have received the request.
    /** Suggested delay before the caller tries again; zero: the default of the reason. */
    std::chrono::milliseconds retry_after_{0};
};

/** Returns a refusal with the default outcome of \p reason. */
[[nodiscard]] inline auto make_refusal(refusal_reason reason) -> refusal
{
    const auto outcome = describe(reason).outcome_;
    return {reason, outcome, outcome != request_outcome::not_run, {}};
}

/** Notifications to the initiator of an exchange. */
struct exchange_hooks {
    /** The target's latency, load, slots and error rate; called before a response or a refusal. */
    std::function<void(const target_load_report& report)> on_load_report_;
    std::function<void(message_head head)> on_response_;
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_end_;
    std::function<void(const refusal& refusal)> on_refused_; ///< Instead of a response.
    std::function<void()> on_truncated_; ///< The response broke off after it had begun.
    std::function<void()> on_writable_;  ///< The exchange can take more of the request's body.
};

/** Returns hooks that ignore everything, for an exchange that continues without its initiator. */
[[nodiscard]] inline auto make_no_op_hooks() -> exchange_hooks
{
    exchange_hooks hooks;
    hooks.on_response_ = [](const message_head&) {
    };
    hooks.on_body_ = [](std::string_view) {
    };
    hooks.on_end_ = [] {
    };
    hooks.on_refused_ = [](const refusal&) {
    };
    hooks.on_truncated_ = [] {
    };
    return hooks;
}

/** The result of the attempt to cancel a request before it is sent to its target. */
enum class withdrawal : std::uint8_t {
    withdrawn,    ///< Cancelled: no byte was sent to the target, and none will be.
    may_have_run, ///< A byte may have been sent to the target; nothing was cancelled.
    /** The node beside the target was asked. It answers with a refusal, which has the outcome
     * `not-run` if it has withdrawn the request. The answer may be lost. */
    pending,
};

/** Operations of the initiator on an exchange. */
struct exchange_controls {
    std::function<void(std::string_view bytes)> write_; ///< Sends a part of the request's body.
    std::function<void()> finish_;                      ///< Ends the request's body.
    std::function<void()> cancel_;                      ///< Aborts; no hook is called afterwards.
    /** Cancels the request if it has certainly not been sent to its target. No hook is called after
     * the result withdrawal::withdrawn. */
    std::function<withdrawal()> withdraw_;
    std::function<void(bool paused)> pause_;    ///< Pauses or resumes the response's body.
    std::function<std::size_t()> queued_bytes_; ///< Request bytes not yet sent.
};

} // namespace sycamorewinch
