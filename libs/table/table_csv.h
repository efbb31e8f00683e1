/** \file
 * The table as CSV (RFC 4180), so that it opens in a spreadsheet.
 *
 * The first line names the columns. Cells that hold a list separate its items by semicolons. The
 * columns host, split, priority and target_latency_ms may be left out, and are written only when a
 * row uses one of them:
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

/** The columns in the order in which they are written. */
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
    host, ///< This column and those behind it may be left out.
    split,
    priority,
    target_latency_ms,
};

constexpr std::size_t table_column_count = 15;
/** How many columns, counted from the first, a heading must name. */
constexpr std::size_t required_column_count = 11;

/** Returns the name of \p column as its heading shows it. */
[[nodiscard]] auto name_of(table_column column) -> std::string_view;

/** Returns the column called \p name, or an error that lists the columns. */
[[nodiscard]] auto parse_table_column(std::string_view name) -> result<table_column>;

/** Returns the text of one cell. */
[[nodiscard]] auto cell_text(const row& value, table_column column) -> std::string;

/** Sets one cell from \p text; the error names what is allowed there. */
[[nodiscard]] auto set_cell(row& value, table_column column, std::string_view text) -> result<void>;

/** Returns \p rows as CSV with a heading line. */
[[nodiscard]] auto write_csv(const std::vector<row>& rows) -> std::string;

/** Reads rows from CSV. Every error names the line, the column and the cell's text. */
[[nodiscard]] auto read_csv(std::string_view text) -> result<std::vector<row>>;

} // namespace sycamorewinch
