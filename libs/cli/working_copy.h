/** \file
 * A working copy of the table: a CSV file that can be edited in a spreadsheet, and next to it
 * `FILE.base`, which stores the accepted table that the edits are based on and the id of a
 * submitted edit whose outcome is unknown.
 */
#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "table/table.h"

namespace sycamorewinch {

/** A submitted edit whose outcome is not known yet. */
struct pending_edit {
    std::string edit_id_;
    digest rows_digest_; ///< Digest of the submitted rows; different rows are a different edit.

    [[nodiscard]] auto operator==(const pending_edit&) const -> bool = default;
};

/** The contents of `FILE.base`. */
struct working_base {
    table table_; ///< The accepted table that the edits are based on.
    std::optional<pending_edit> pending_;
};

/** Returns the path `FILE.base` for \p file. */
[[nodiscard]] auto base_path_of(const std::string& file) -> std::string;

/** Reads the rows of \p file; errors name the file, line and column. */
[[nodiscard]] auto read_rows(const std::string& file) -> result<std::vector<row>>;

/** Writes \p rows as CSV, atomically. */
[[nodiscard]] auto write_rows(const std::string& file, const std::vector<row>& rows)
    -> result<void>;

/** Reads the base of \p file; `not_found` when there is no `FILE.base`, `corrupt` when it is
 * damaged. */
[[nodiscard]] auto read_base(const std::string& file) -> result<working_base>;

/** Writes the base of \p file, atomically. */
[[nodiscard]] auto write_base(const std::string& file, const working_base& base) -> result<void>;

} // namespace sycamorewinch
