/** \file
 * One attempt of a call, wherever it runs: at the target beside this node, or through another node.
 *
 * The side that starts an exchange gets its controls, and hears of the answer by hooks. Exactly one
 * of on_end_, on_refused_ and on_broken_ is called, and nothing after it.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "http1/http1_parser.h"
#include "policy/refusal.h"
#include "policy/target_load_report.h"

namespace sycamorewinch {

/** A request on its way to one target. */
struct exchange_request {
    message_head head_;
    std::string service_;
    std::string target_;
    std::string caller_; ///< Whose limits apply; empty: none.
    std::string origin_; ///< The service beside the caller's node; may be empty.
    std::chrono::milliseconds time_left_{0};   ///< Until the call's deadline.
    std::chrono::milliseconds time_in_aim_{0}; ///< Until an answer is later than its route aims at.
    bool is_last_choice_ =
        false; ///< No other target is left to try: waiting is better than nothing.
    std::uint32_t priority_ = 0; ///< 0 gets the next free slot.
    bool repeatable_ = false;    ///< It may run twice.
    bool is_retry_ = false;      ///< It is a further attempt, or belongs to one.
};

/** A refusal and what is known of the request. */
struct refusal {
    refusal_reason reason_ = refusal_reason::no_target;
    request_outcome outcome_ = request_outcome::unknown;
    bool reached_target_ = false; ///< The target itself had the request, or may have had it.
    /** When another try makes sense; zero: as the reason says. */
    std::chrono::milliseconds retry_after_{0};
};

/** Returns a refusal with the outcome that \p reason usually has. */
[[nodiscard]] inline auto make_refusal(refusal_reason reason) -> refusal
{
    const auto outcome = describe(reason).outcome_;
    return {reason, outcome, outcome != request_outcome::not_run, {}};
}

/** What the starter of an exchange hears. */
struct exchange_hooks {
    /** How the target is doing, before an answer or a refusal. */
    std::function<void(const target_load_report& status)> on_status_;
    std::function<void(message_head head)> on_response_;
    std::function<void(std::string_view bytes)> on_body_;
    std::function<void()> on_end_;
    std::function<void(const refusal& refusal)> on_refused_; ///< Before any response.
    std::function<void()> on_broken_;   ///< After the response began: it is not whole.
    std::function<void()> on_writable_; ///< Room for more of the request's body.
};

/** Returns hooks for an exchange that goes on after its starter has gone. */
[[nodiscard]] inline auto hooks_for_nobody() -> exchange_hooks
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
    hooks.on_broken_ = [] {
    };
    return hooks;
}

/** What the starter of an exchange can do. */
struct exchange_controls {
    std::function<void(std::string_view bytes)> write_; ///< A part of the request's body.
    std::function<void()> finish_;                      ///< The request's body is whole.
    std::function<void()> cancel_;                      ///< Give up; no hook follows.
    std::function<void(bool paused)> pause_;            ///< Stop or resume the answer's body.
    std::function<std::size_t()> queued_bytes_;         ///< Request bytes not yet taken.
};

} // namespace sycamorewinch
