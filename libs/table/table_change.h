/** \file
 * Changes from one table to another, by row and by organisation.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "table/table.h"

namespace sycamorewinch {

/** Rows and organisations to insert or replace, services and organisations to remove, and new
 * connection bounds. */
struct table_change {
    std::vector<row> upserts_;
    std::vector<std::string> removals_;       ///< Services.
    std::optional<connection_bounds> bounds_; ///< Unset: unchanged.
    std::vector<organisation> organisation_upserts_;
    std::vector<std::string> organisation_removals_; ///< Names.

    [[nodiscard]] auto empty() const -> bool
    {
        return upserts_.empty() && removals_.empty() && !bounds_ && !has_organisations();
    }
    /** Returns whether any organisation changes. */
    [[nodiscard]] auto has_organisations() const -> bool
    {
        return !organisation_upserts_.empty() || !organisation_removals_.empty();
    }
    [[nodiscard]] auto operator==(const table_change&) const -> bool = default;
};

/** Returns the change that transforms \p from into \p to. */
[[nodiscard]] auto difference(const table& from, const table& to) -> table_change;

/** Returns \p base with \p change applied, with version \p number. */
[[nodiscard]] auto apply_change(const table& base, const table_change& change, std::uint64_t number)
    -> table;

/** Returns one change that has the effect of \p earlier followed by \p later. */
[[nodiscard]] auto combine(const table_change& earlier, const table_change& later) -> table_change;

} // namespace sycamorewinch
