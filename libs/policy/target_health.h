/** \file
 * What a node knows of a target that it calls: its own observations, the last load report of
 * the node beside the target, and whether the target is ejected, that is, left out of routing.
 *
 * The node's own observations take precedence over the load report. After failures_to_eject
 * consecutive failures a target is ejected, for a time that doubles while it keeps failing. If more
 * than half of a service's targets would be ejected for failures, none is, since the fault is then
 * elsewhere. An unreachable target is left out at once for base_ejection_time, as long as
 * another target is available, and so is a target whose stated rate is used up, for the time that
 * its load report gives.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "policy/target_load_report.h"

namespace sycamorewinch {

/** One target as observed by one node. Safe from any thread. */
class target_health {
  public:
    static constexpr std::uint32_t failures_to_eject = 5;
    static constexpr duration base_ejection_time = std::chrono::seconds(1);
    static constexpr duration max_ejection_time = std::chrono::seconds(16);

    /** Records a response of any status; it ends a series of failures. */
    void on_answer() { failures_ = 0; }
    /** Records that the target failed during an exchange. */
    void on_failure(instant now);
    /** Records that the target or the node beside it was unreachable: the target is left out
     * at once. */
    void on_unreachable(instant now);

    /** Records a load report of the node beside the target. */
    void on_load_report(const target_load_report& report, instant now);

    /** Records that the target has said it is leaving; \p start identifies its start, 0 if unknown.
     */
    void on_leaving(std::uint64_t start);

    /** Returns whether the start of the target that \p start identifies has said it is leaving. An
     * unknown start is never known to: nothing would tell when the target has restarted. */
    [[nodiscard]] auto is_leaving(std::uint64_t start) const -> bool
    {
        return start != 0 && start <= leaving_start_;
    }

    /** Returns the request rate that the target stated, in thousandths of a request per second, as
     * of the last load report; nothing if that is old or states none. */
    [[nodiscard]] auto rate_limit(instant now) const -> std::optional<std::uint32_t>;

    /** Returns the expected cost of a call to the target, in multiples of the row's target latency:
     * the expected latency plus a penalty for expected errors. Returns 0 if there is no recent
     * load report. */
    [[nodiscard]] auto cost(instant now) const -> double;

    /** Returns whether the target is left out because it was unreachable. */
    [[nodiscard]] auto is_unreachable(instant now) const -> bool
    {
        return now.time_since_epoch().count() < unreachable_until_us_;
    }

    /** Returns whether the target gets as many requests as it states that it takes, according to
     * the last load report. */
    [[nodiscard]] auto is_rate_exhausted(instant now) const -> bool
    {
        return now.time_since_epoch().count() < rate_exhausted_until_us_;
    }

    /** Returns whether the target is left out because of consecutive failures. */
    [[nodiscard]] auto is_ejected(instant now) const -> bool
    {
        return now.time_since_epoch().count() < ejected_until_us_;
    }

  private:
    std::atomic<std::uint32_t> failures_{0}; ///< Consecutive.
    std::atomic<std::int64_t> ejected_until_us_{0};
    std::atomic<std::int64_t> unreachable_until_us_{0};
    std::atomic<std::uint32_t> relative_latency_{0}; ///< As in target_load_report.
    std::atomic<std::uint32_t> error_rate_{0};       ///< As in target_load_report.
    std::atomic<std::uint32_t> load_{0}; ///< Requests in flight, in thousandths of the slots.
    std::atomic<std::int64_t> reported_us_{0};
    std::atomic<std::int64_t> rate_exhausted_until_us_{0};
    static constexpr std::int64_t no_rate_limit = -1;
    std::atomic<std::int64_t> rate_limit_{no_rate_limit}; ///< As in target_load_report.
    std::atomic<std::uint64_t> leaving_start_{0};         ///< The latest start that said so.
};

} // namespace sycamorewinch
