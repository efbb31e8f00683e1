/** \file
 * Two or three tables compared cell by cell, for people.
 *
 * \code
 * for (const auto& cell : changed_cells(base, edited)) ...   // dialer, rate: 20 -> 30
 * const auto merged = merge_tables(base, theirs, mine);      // conflicts: both changed one cell
 * \endcode
 */
#pragma once

#include <string>
#include <vector>

#include "table/table.h"
#include "table/table_csv.h"

namespace sycamorewinch {

/** One cell that differs. A row that is new or gone shows in its service cell. */
struct cell_change {
    std::string service_;
    table_column column_ = table_column::service;
    std::string before_;
    std::string after_;

    [[nodiscard]] auto operator==(const cell_change&) const -> bool = default;
};

/** Returns the cells of \p to that differ from \p from, by service and column. */
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

/** The outcome of a merge. */
struct merged_table {
    std::vector<row> rows_;                 ///< Both sides' changes; where they conflict, mine.
    std::vector<merge_conflict> conflicts_; ///< Empty: nothing is lost by accepting rows_.
};

/** Puts the changes that lead from \p base to \p theirs and to \p mine together. */
[[nodiscard]] auto merge_tables(const table& base, const table& theirs, const table& mine)
    -> merged_table;

} // namespace sycamorewinch
