/** \file
 * Counts the responses of one target by row while a roll-out of its service is running.
 */
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/version_report.h"

namespace sycamorewinch {

/** How a target has served one request, in the terms of a roll-out's judge. */
struct version_result {
    bool is_failure_ = false; ///< A server error or a broken connection.
    bool is_slow_ = false;    ///< Slower than the row's target latency.
};

/** The counters of one target. Safe from any thread; only the first request of a row takes a lock.
 */
class version_meter {
  public:
    /** Counts a request of the row named \p row. */
    void record(std::string_view row, version_result result);

    /** Returns the counts since the previous call, without service and version. Rows without
     * requests are left out. */
    [[nodiscard]] auto take_samples() -> std::vector<version_sample>;

  private:
    struct row_counts {
        std::string row_;
        row_counts* next_ = nullptr; ///< In the same bucket.
        std::atomic<std::uint64_t> responses_{0};
        std::atomic<std::uint64_t> failures_{0};
        std::atomic<std::uint64_t> slow_{0};
    };
    static constexpr std::size_t buckets = 64;

    [[nodiscard]] auto counts_of(std::string_view row) -> row_counts&;

    std::array<std::atomic<row_counts*>, buckets> heads_{};
    std::mutex mutex_;            ///< Guards rows_ and writes to heads_.
    std::deque<row_counts> rows_; ///< Never shrinks, so that addresses stay valid.
};

} // namespace sycamorewinch
