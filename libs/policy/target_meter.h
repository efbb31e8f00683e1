/** \file
 * Measures one target at the node beside it: how long it takes compared with what its rows aim at,
 * and how often it answers with an error.
 *
 * Rows differ in how long they take; measured against their aims they can be averaged, and two
 * targets of one service be compared.
 */
#pragma once

#include <atomic>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** Moving averages over the latest answers of one target. Safe from any thread. */
class target_meter {
  public:
    /** The target answered a request in \p taken; its row aims at \p aim, zero: at nothing. */
    void on_answer(duration taken, duration aim);
    /** The target answered with an error, broke off, or turned the request away. */
    void on_error();

    /** Time taken, in thousandths of the aim; 0 before the first answer. */
    [[nodiscard]] auto relative_latency() const -> std::uint32_t { return relative_latency_; }
    /** Errors among the answers, in thousandths. */
    [[nodiscard]] auto error_rate() const -> std::uint32_t { return error_rate_; }

  private:
    std::atomic<std::uint32_t> relative_latency_{0};
    std::atomic<std::uint32_t> error_rate_{0};
};

} // namespace sycamorewinch
