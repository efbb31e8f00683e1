/** \file
 * The difference between two tables, by row.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "table/table.h"

namespace sycamorewinch {

/** The rows to put in and the services to take out. */
struct table_change {
    std::vector<row> upserts_;
    std::vector<std::string> removals_;
    std::optional<connection_bounds> bounds_; ///< Unset: they stay as they are.

    [[nodiscard]] auto empty() const -> bool
    {
        return upserts_.empty() && removals_.empty() && !bounds_;
    }
    [[nodiscard]] auto operator==(const table_change&) const -> bool = default;
};

/** Returns what turns the rows of \p from into the rows of \p to. */
[[nodiscard]] auto difference(const table& from, const table& to) -> table_change;

/** Returns \p base with \p change put in, under \p number. */
[[nodiscard]] auto apply_change(const table& base, const table_change& change, std::uint64_t number)
    -> table;

/** Adds \p later on top of \p earlier, so that one change stands for both. */
[[nodiscard]] auto combine(const table_change& earlier, const table_change& later) -> table_change;

} // namespace sycamorewinch
