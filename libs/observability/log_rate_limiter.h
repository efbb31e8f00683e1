/** \file
 * How many lines each kind of event may write: a rate with a reserve of its own, so that a storm of
 * one kind neither fills the log nor hides another. What is left out is counted, and the next line
 * of its kind says how many there were.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace sycamorewinch {

/** The lines of all kinds of event. For one thread at a time. */
class line_budget {
  public:
    /** Returns nothing when the line must be left out, else how many of its kind were left out
     * since the last one. */
    [[nodiscard]] auto take(std::string_view event, instant now) -> std::optional<std::uint64_t>;

    static constexpr double lines_per_second = 50; ///< Of one kind, for long.
    static constexpr double reserve_lines = 500;   ///< Of one kind, at once.

  private:
    struct account {
        double lines_ = reserve_lines;
        instant updated_{};
        std::uint64_t left_out_ = 0;
    };

    std::map<std::string, account, std::less<>> accounts_; ///< By event.
};

} // namespace sycamorewinch
