/** \file
 * What a node knows of a target that it calls: what it saw itself, what the node beside the target
 * reported, and whether the target is left out for a while.
 *
 * Only this outranks what a target says of itself. After failures_to_eject failures in a row a
 * target is left out, for a time that doubles while it goes on failing. When more than half of a
 * service's targets would be left out for that, none is: the fault then lies elsewhere. One that
 * cannot be reached is left out at once for a while, as long as any other is there.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"
#include "policy/target_load_report.h"

namespace sycamorewinch {

/** One target as one node sees it. Safe from any thread. */
class target_health {
  public:
    static constexpr std::uint32_t failures_to_eject = 5;
    static constexpr duration first_ejection = std::chrono::seconds(1);
    static constexpr duration longest_ejection = std::chrono::seconds(16);

    /** An answer came, whatever it said. */
    void on_answer() { failures_ = 0; }
    /** It broke off. */
    void on_failure(instant now);
    /** It, or the node beside it, could not be reached: it is left out at once. */
    void on_unreachable(instant now);

    /** The node beside it reported. */
    void on_status(const target_load_report& status, instant now);

    /** Returns the time that a call is expected to cost there, in aims of its row, with the errors
     * that are to be expected; 0 when nothing was reported lately. */
    [[nodiscard]] auto cost(instant now) const -> double;

    /** Returns whether it is left out because it could not be reached. */
    [[nodiscard]] auto is_unreachable(instant now) const -> bool
    {
        return now.time_since_epoch().count() < unreachable_until_us_;
    }

    [[nodiscard]] auto is_ejected(instant now) const -> bool
    {
        return now.time_since_epoch().count() < ejected_until_us_;
    }

  private:
    std::atomic<std::uint32_t> failures_{0}; ///< In a row.
    std::atomic<std::int64_t> ejected_until_us_{0};
    std::atomic<std::int64_t> unreachable_until_us_{0};
    std::atomic<std::uint32_t> relative_latency_{0}; ///< As in target_load_report.
    std::atomic<std::uint32_t> error_rate_{0};       ///< As in target_load_report.
    std::atomic<std::uint32_t> load_{0};             ///< In flight, in thousandths of the slots.
    std::atomic<std::int64_t> reported_us_{0};
};

} // namespace sycamorewinch
