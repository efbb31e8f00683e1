/** \file
 * The operators' table as a whole, under a version.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "table/row.h"

namespace sycamorewinch {

/** Names one accepted table. Two tables under one number differ in their digest. */
struct table_version {
    std::uint64_t number_ = 0; ///< Counts accepted versions; 0 is the empty table.
    digest digest_;

    [[nodiscard]] auto operator<=>(const table_version&) const = default;
};

/** A whole table. Rows are sorted by service, and each service has one row. */
struct table {
    table_version version_;
    std::vector<row> rows_;

    /** Returns the row of \p service, or nullptr. */
    [[nodiscard]] auto find(std::string_view service) const -> const row*;
};

/** Returns the digest of \p rows: the sum, word by word, of the digests of their encoded forms. A
 * row's digest covers its service, so no two rows of one table cancel out, and a change of one row
 * costs the hashing of that row alone. */
[[nodiscard]] auto digest_of_rows(const std::vector<row>& rows) -> digest;

/** Returns \p sum with \p added put into it. */
[[nodiscard]] auto add_row_digest(digest sum, const row& added) -> digest;

/** Returns \p sum with \p removed taken out of it. */
[[nodiscard]] auto subtract_row_digest(digest sum, const row& removed) -> digest;

/** Returns a table of \p rows, sorted, under \p number and their digest. */
[[nodiscard]] auto make_table(std::uint64_t number, std::vector<row> rows) -> table;

/** Returns `7 (0123abcd)`: the number and the start of the digest, for people. */
[[nodiscard]] auto to_text(const table_version& version) -> std::string;

} // namespace sycamorewinch
