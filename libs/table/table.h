/** \file
 * The whole table that operators edit, with its version and digest.
 */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "table/organisation.h"
#include "table/row.h"

namespace sycamorewinch {

/** Identifies one accepted table. Different tables with the same number differ in their digest. */
struct table_version {
    std::uint64_t number_ = 0; ///< Number of accepted versions; 0 for the initial empty table.
    digest digest_;

    [[nodiscard]] auto operator<=>(const table_version&) const = default;
};

/** Size and time limits on callers' connections. Zero keeps the daemon's own limit. */
struct connection_bounds {
    std::uint32_t header_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::chrono::milliseconds header_timeout_{0}; ///< To receive a whole request header.
    std::chrono::milliseconds idle_timeout_{0};   ///< Between two requests of a connection.

    [[nodiscard]] auto operator==(const connection_bounds&) const -> bool = default;
};

/** A whole table. Rows are sorted by service, and each service has one row. Organisations are
 * sorted by name. */
struct table {
    table_version version_;
    std::vector<row> rows_;
    connection_bounds bounds_;
    /** If not empty, calls must present the API key of one of them. */
    std::vector<organisation> organisations_;

    /** Returns the row of \p service, or nullptr if there is none. */
    [[nodiscard]] auto find(std::string_view service) const -> const row*;
    /** Returns whether calls of any row may go to \p service. */
    [[nodiscard]] auto names_service(std::string_view service) const -> bool;
    /** Returns the organisation called \p name, or nullptr if there is none. */
    [[nodiscard]] auto find_organisation(std::string_view name) const -> const organisation*;
};

/** Returns the digest of \p rows: the sum of the digests of the encoded rows, by 64-bit word.
 * The encoded row includes its service, so no two rows of one table have the same digest. After a
 * change of one row, only that row has to be hashed. */
[[nodiscard]] auto digest_of_rows(const std::vector<row>& rows) -> digest;

/** Returns \p sum plus the digest of \p added. */
[[nodiscard]] auto add_row_digest(digest sum, const row& added) -> digest;

/** Returns \p sum minus the digest of \p removed. */
[[nodiscard]] auto subtract_row_digest(digest sum, const row& removed) -> digest;

/** Returns \p sum plus the digest of \p bounds; default bounds leave it unchanged. */
[[nodiscard]] auto add_bounds_digest(digest sum, const connection_bounds& bounds) -> digest;

/** Returns \p sum minus the digest of \p bounds; default bounds leave it unchanged. */
[[nodiscard]] auto subtract_bounds_digest(digest sum, const connection_bounds& bounds) -> digest;

/** Returns \p sum plus the digest of \p added. */
[[nodiscard]] auto add_organisation_digest(digest sum, const organisation& added) -> digest;

/** Returns \p sum minus the digest of \p removed. */
[[nodiscard]] auto subtract_organisation_digest(digest sum, const organisation& removed) -> digest;

/** Returns a table of the sorted \p rows and \p organisations and of \p bounds, with version
 * \p number and the digest. */
[[nodiscard]] auto make_table(std::uint64_t number, std::vector<row> rows,
                              const connection_bounds& bounds = {},
                              std::vector<organisation> organisations = {}) -> table;

/** Returns the number and the start of the digest for display, such as `7 (0123abcd)`. */
[[nodiscard]] auto to_text(const table_version& version) -> std::string;

} // namespace sycamorewinch
