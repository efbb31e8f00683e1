/** \file
 * Reads and writes the table as CSV (RFC 4180), which spreadsheets can open.
 *
 * The first line names the columns. The items of a list cell are separated by semicolons. The
 * columns host, split, priority, target_latency_ms and allow_anonymous are optional when reading.
 * The first four are written if a row uses any of the five, and the last if a row uses it:
 *
 * \code
 * service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,retries,repeatable,depends_on
 * dialer,/dialer,zone:a=3;zone:b=1,50,20,10,shelter=5/5/2,800,1,no,directory;mailbox
 * \endcode
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "table/row.h"

namespace sycamorewinch {

/** The columns, in the order in which they are written. */
enum class table_column : std::uint8_t {
    service,
    path_prefix,
    weights,
    rate,
    burst,
    concurrency,
    callers,
    timeout_ms,
    retries,
    repeatable,
    depends_on,
    host, ///< This column and the following ones are optional.
    split,
    priority,
    target_latency_ms,
    allow_anonymous,
};

constexpr std::size_t table_column_count = 16;
/** The heading must name the first this many columns, in any order. */
constexpr std::size_t required_column_count = 11;

/** Returns the name of \p column in the heading. */
[[nodiscard]] auto name_of(table_column column) -> std::string_view;

/** Returns the column named \p name, or an error that lists the valid names. */
[[nodiscard]] auto parse_table_column(std::string_view name) -> result<table_column>;

/** Returns the text of one cell. */
[[nodiscard]] auto cell_text(const row& value, table_column column) -> std::string;

/** Sets one cell from \p text; the error states which values are allowed. */
[[nodiscard]] auto set_cell(row& value, table_column column, std::string_view text) -> result<void>;

/** Returns \p rows as CSV with a heading line. */
[[nodiscard]] auto write_csv(const std::vector<row>& rows) -> std::string;

/** Reads rows from CSV. An error states the line and, for a cell, its column and text. */
[[nodiscard]] auto read_csv(std::string_view text) -> result<std::vector<row>>;

} // namespace sycamorewinch
