/** \file
 * Checks a whole table before it is accepted. A table with one finding is refused whole.
 */
#pragma once

#include <string>
#include <vector>

#include "table/row.h"
#include "table/table_csv.h"

namespace sycamorewinch {

/** One thing wrong with a table: where, and what to do. */
struct table_finding {
    std::string service_;
    table_column column_ = table_column::service;
    std::string message_;

    [[nodiscard]] auto operator==(const table_finding&) const -> bool = default;
};

/** Returns everything wrong with \p rows; empty when the table may be accepted. */
[[nodiscard]] auto check_table(const std::vector<row>& rows) -> std::vector<table_finding>;

} // namespace sycamorewinch
