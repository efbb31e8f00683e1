/** \file
 * A working copy of the table: a CSV file for a spreadsheet, and beside it `FILE.base`, which keeps
 * the version that the edits start from and the id of an edit whose answer is still missing.
 */
#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "table/table.h"

namespace sycamorewinch {

/** An edit that was sent and whose outcome is not known yet. */
struct pending_edit {
    std::string edit_id_;
    digest rows_; ///< Of the rows that were sent: another content is another edit.

    [[nodiscard]] auto operator==(const pending_edit&) const -> bool = default;
};

/** What `FILE.base` holds. */
struct working_base {
    table table_; ///< The accepted table that the edits start from.
    std::optional<pending_edit> pending_;
};

/** Returns `FILE.base`. */
[[nodiscard]] auto base_path_of(const std::string& file) -> std::string;

/** Reads the rows of \p file; the error names file, line and column. */
[[nodiscard]] auto read_rows(const std::string& file) -> result<std::vector<row>>;

/** Writes \p rows as CSV, whole or not at all. */
[[nodiscard]] auto write_rows(const std::string& file, const std::vector<row>& rows)
    -> result<void>;

/** Reads what \p file starts from; `not_found` when there is no `FILE.base`. */
[[nodiscard]] auto read_base(const std::string& file) -> result<working_base>;

/** Writes what \p file starts from, whole or not at all. */
[[nodiscard]] auto write_base(const std::string& file, const working_base& base) -> result<void>;

} // namespace sycamorewinch
