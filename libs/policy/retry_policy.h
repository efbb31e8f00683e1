/** \file
 * Whether a call is tried at another target after an attempt of it was refused.
 *
 * A retry must be safe, must leave time before the deadline, and is paid for from its service's
 * budget: a fraction of the calls made. A call made on behalf of a retried call carries the retry
 * mark and is not retried, so that retries never multiply over layers.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "policy/refusal.h"

namespace sycamorewinch {

/** Why another attempt is made. */
enum class retry_reason : std::uint8_t {
    target_draining,
    target_full,
    no_target,
    target_unreachable,
    target_failed,
    table_not_proved,
    rate_limited,        ///< Another target has a share of the limit of its own.
    concurrency_limited, ///< Likewise.
};
constexpr std::size_t retry_reason_count = 8;

/** Returns the name of \p reason, as in the counters' label. */
[[nodiscard]] auto name_of(retry_reason reason) -> std::string_view;

/** Returns the reason to try another target after \p reason, or nothing when none would help. */
[[nodiscard]] auto retry_reason_of(refusal_reason reason) -> std::optional<retry_reason>;

/** The retries that one service may make: a fraction of its calls, with a reserve. Safe from any
 * thread. */
class retry_budget {
  public:
    /** Counts a call, which earns a fraction of a retry. */
    void earn();
    /** Takes one retry; returns false when the budget is spent. */
    auto spend() -> bool;

    static constexpr std::int64_t thousandths_per_call = 100;  ///< One retry for ten calls.
    static constexpr std::int64_t reserve_thousandths = 5'000; ///< Small, since every node has one.

  private:
    std::atomic<std::int64_t> thousandths_{reserve_thousandths};
};

/** The least time before the deadline that makes another attempt worth it. */
constexpr duration least_time_for_retry = std::chrono::milliseconds(5);

/** What is known when an attempt was refused. */
struct retry_context {
    refusal_reason reason_ = refusal_reason::no_target;
    request_outcome outcome_ = request_outcome::unknown;
    bool repeatable_ = false;        ///< The row lets a request run twice.
    bool replayable_ = true;         ///< The body is still held.
    bool has_untried_target_ = true; ///< There is a target that was not tried and may grant.
    bool has_retry_mark_ = false;    ///< The call itself belongs to a retried call.
    /** The refused attempt may have reached its target, and so counts as one. */
    bool reached_target_ = true;
    unsigned attempts_ = 1; ///< Made so far.
    unsigned retries_ = 0;  ///< The row's number of further tries.
    duration time_left_{0};
};

/** The answer; every value but retry ends the call. */
enum class retry_decision : std::uint8_t {
    retry,
    no_use,        ///< Another target would refuse as well.
    unsafe,        ///< The request may have run and may not be repeated, or its body is gone.
    attempts_used, ///< The row allows no more.
    marked,        ///< Another layer retries.
    deadline,      ///< Too little time is left.
    budget_spent,
};
constexpr std::size_t retry_decision_count = 7;

/** Returns the name of \p decision, as in the counters' label. */
[[nodiscard]] auto name_of(retry_decision decision) -> std::string_view;

/** Decides, and takes what a retry costs from \p budget. A target that is draining, or whose node
 * has only just started, costs nothing: the news of it is on its way to every node. Nor does an
 * attempt that the node beside the target refused: no target had it. A limit is asked for at one
 * further target, whatever the row's retries: it is one limit, of which each target holds a share.
 */
[[nodiscard]] auto decide_retry(const retry_context& question, retry_budget& budget)
    -> retry_decision;

} // namespace sycamorewinch
