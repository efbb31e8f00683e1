/** \file
 * Measures one target at the node beside it: its latency relative to the target latency of the
 * rows, and its error rate.
 *
 * Rows differ in their typical latency. Relative to the rows' target latencies, measurements of
 * different rows can be averaged, and targets of one service can be compared.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** Exponential moving averages over the responses of one target. Safe from any thread. */
class target_meter {
  public:
    /** Records a response after \p elapsed; \p target_latency is that of the row, 0 if it has
     * none. */
    void on_answer(duration elapsed, duration target_latency);
    /** Records that the target responded with an error, failed, or rejected the request. */
    void on_error();

    /** Counts the requests that wait for a slot of the target. */
    void on_wait_begun() { waiting_.fetch_add(1, std::memory_order_relaxed); }
    void on_wait_ended() { waiting_.fetch_sub(1, std::memory_order_relaxed); }
    [[nodiscard]] auto waiting() const -> std::uint32_t { return waiting_; }

    /** Average latency, in thousandths of the row's target latency; 0 before the first response. */
    [[nodiscard]] auto relative_latency() const -> std::uint32_t { return relative_latency_; }
    /** Error rate, in thousandths of the requests. */
    [[nodiscard]] auto error_rate() const -> std::uint32_t { return error_rate_; }

  private:
    std::atomic<std::uint32_t> relative_latency_{0};
    std::atomic<std::uint32_t> error_rate_{0};
    std::atomic<std::uint32_t> waiting_{0};
};

} // namespace sycamorewinch
