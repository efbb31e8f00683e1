/** \file
 * Validation of a whole table before it is accepted. A table with any finding is rejected as a
 * whole.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "table/organisation.h"
#include "table/row.h"
#include "table/table_csv.h"

namespace sycamorewinch {

/** One problem in a table: its cell, and a message for the operator. */
struct table_finding {
    std::string service_;
    table_column column_ = table_column::service;
    std::string message_;

    [[nodiscard]] auto operator==(const table_finding&) const -> bool = default;
};

/** Returns the problems found in \p rows, 256 at most; empty if the table may be accepted. */
[[nodiscard]] auto check_table(const std::vector<row>& rows) -> std::vector<table_finding>;

/** Returns the first problem found in \p organisations; nothing if a table may have them. The
 * message contains no key. */
[[nodiscard]] auto check_organisations(const std::vector<organisation>& organisations)
    -> std::optional<std::string>;

/** Returns what is wrong with \p api_key, without the key; empty if it is valid. */
[[nodiscard]] auto api_key_problem(std::string_view api_key) -> std::string_view;

} // namespace sycamorewinch
