/** \file
 * Comparison and three-way merge of tables, cell by cell, for display to operators.
 *
 * \code
 * for (const auto& cell : changed_cells(base, edited)) ...   // dialer, rate: 20 -> 30
 * const auto merged = merge_tables(base, theirs, mine);      // conflicts: cells that both changed
 * \endcode
 */
#pragma once

#include <string>
#include <vector>

#include "table/table.h"
#include "table/table_csv.h"

namespace sycamorewinch {

/** One cell that differs. A removed row is reported by its service cell alone, an added row
 * by every cell that is not empty. */
struct cell_change {
    std::string service_;
    table_column column_ = table_column::service;
    std::string before_;
    std::string after_;

    [[nodiscard]] auto operator==(const cell_change&) const -> bool = default;
};

/** Returns the cells in which \p to differs from \p from, sorted by service and column. */
[[nodiscard]] auto changed_cells(const table& from, const table& to) -> std::vector<cell_change>;

/** One cell that two operators changed differently from the same base. */
struct merge_conflict {
    std::string service_;
    table_column column_ = table_column::service;
    std::string base_;
    std::string theirs_;
    std::string mine_;

    [[nodiscard]] auto operator==(const merge_conflict&) const -> bool = default;
};

/** The result of a merge. */
struct merged_table {
    std::vector<row> rows_; ///< The changes of both sides; mine where they conflict.
    std::vector<merge_conflict> conflicts_; ///< If empty, accepting rows_ loses no change.
};

/** Three-way merge: combines the changes from \p base to \p theirs and from \p base to \p mine. */
[[nodiscard]] auto merge_tables(const table& base, const table& theirs, const table& mine)
    -> merged_table;

} // namespace sycamorewinch
