/** \file
 * Decides whether a call is retried at another target after an attempt was refused.
 *
 * A retry must be safe, must have enough time left before the deadline, and is charged to the retry
 * budget of the service, which is a fraction of the calls made. A call that is made on behalf of a
 * retried call carries the retry mark and is not retried, so that retries do not multiply across
 * layers.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "policy/refusal.h"

namespace sycamorewinch {

/** The refusals after which another attempt can help. */
enum class retry_reason : std::uint8_t {
    target_draining,
    target_full,
    target_rate_limited,
    no_target,
    target_unreachable,
    target_failed,
    table_not_proved,
    rate_limited,        ///< Another target has its own share of the limit.
    concurrency_limited, ///< As for rate_limited.
};
constexpr std::size_t retry_reason_count = 9;

/** Returns the name of \p reason, as in the metric label. */
[[nodiscard]] auto name_of(retry_reason reason) -> std::string_view;

/** Returns the retry reason for \p reason, or nothing if another target would not help. */
[[nodiscard]] auto retry_reason_of(refusal_reason reason) -> std::optional<retry_reason>;

/** Limits the retries of one service to a fraction of its calls, plus a reserve. Safe from any
 * thread. */
class retry_budget {
  public:
    /** Adds the fraction of a retry that one call earns. */
    void earn();
    /** Takes one retry from the budget; returns false if the budget is spent. */
    auto spend() -> bool;

    static constexpr std::int64_t thousandths_per_call = 100;  ///< One retry per ten calls.
    static constexpr std::int64_t reserve_thousandths = 5'000; ///< Small: each node has its own.

  private:
    std::atomic<std::int64_t> balance_thousandths_{reserve_thousandths};
};

/** With less time than this before the deadline, another attempt is not worth making. */
constexpr duration min_time_for_retry = std::chrono::milliseconds(5);

/** What is known of a call when one of its attempts was refused. */
struct retry_context {
    refusal_reason reason_ = refusal_reason::no_target;
    request_outcome outcome_ = request_outcome::unknown;
    bool repeatable_ = false;        ///< The row permits running a request twice.
    bool replayable_ = true;         ///< The request body is still buffered.
    bool has_untried_target_ = true; ///< Some admitting target was not tried yet.
    bool has_retry_mark_ = false;    ///< Made on behalf of a retried call.
    /** The refused attempt may have reached its target, so it counts as an attempt. */
    bool reached_target_ = true;
    unsigned attempts_ = 1; ///< Attempts made so far.
    unsigned retries_ = 0;  ///< Retries that the row permits.
    duration time_left_{0};
};

/** The result; every value except retry ends the call. */
enum class retry_decision : std::uint8_t {
    retry,
    no_use,        ///< Another target would refuse it too.
    unsafe,        ///< It may have run and is not repeatable, or its body was discarded.
    attempts_used, ///< The row permits no more retries.
    marked,        ///< An outer call retries.
    deadline,      ///< Too little time before the deadline.
    budget_spent,
};
constexpr std::size_t retry_decision_count = 7;

/** Returns the name of \p decision, as in the metric label. */
[[nodiscard]] auto name_of(retry_decision decision) -> std::string_view;

/** Decides whether to retry, and charges the cost of a retry to \p budget.
 *
 * These refusals cost no budget: target_draining and table_not_proved, since every node is about to
 * learn of the drain or the node's start, and any attempt that did not reach its target. After a
 * refusal by a caller limit, one other target is tried, whatever number of retries the row permits:
 * each target holds a share of the same limit. Such a retry costs no budget either.
 */
[[nodiscard]] auto decide_retry(const retry_context& context, retry_budget& budget)
    -> retry_decision;

} // namespace sycamorewinch
