/** \file
 * The operators' table as a whole, under a version.
 */
#pragma once

#include <chrono>
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

/** What callers' connections may send, and how long they may take. Zero leaves the daemon's own
 * bound in place. */
struct connection_bounds {
    std::uint32_t header_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::chrono::milliseconds header_timeout_{0}; ///< For a whole request header.
    std::chrono::milliseconds idle_timeout_{0};   ///< Between two requests.

    [[nodiscard]] auto operator==(const connection_bounds&) const -> bool = default;
};

/** A whole table. Rows are sorted by service, and each service has one row. */
struct table {
    table_version version_;
    std::vector<row> rows_;
    connection_bounds bounds_;

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

/** Returns \p sum with \p bounds put into it; bounds that bound nothing leave it as it is. */
[[nodiscard]] auto add_bounds_digest(digest sum, const connection_bounds& bounds) -> digest;

/** Returns \p sum with \p bounds taken out of it. */
[[nodiscard]] auto subtract_bounds_digest(digest sum, const connection_bounds& bounds) -> digest;

/** Returns a table of \p rows, sorted, and \p bounds under \p number and their digest. */
[[nodiscard]] auto make_table(std::uint64_t number, std::vector<row> rows,
                              const connection_bounds& bounds = {}) -> table;

/** Returns `7 (0123abcd)`: the number and the start of the digest, for people. */
[[nodiscard]] auto to_text(const table_version& version) -> std::string;

} // namespace sycamorewinch
