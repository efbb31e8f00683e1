/** \file
 * The command that accepts a new version of the table, and its outcome.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "table/table_change.h"
#include "table/table_csv.h"

namespace sycamorewinch {

/** Asks to accept \p change_ on top of \p base_. */
struct accept_command {
    std::string edit_id_;  ///< The same id sent again gets the first outcome.
    std::string operator_; ///< Who edits, for the history.
    table_version base_;   ///< What the operator saw; another current version is a conflict.
    table_change change_;
    /** The number that the editor chose for the new version, above the current one; 0: the next. */
    std::uint64_t number_ = 0;
    /** The editor's own text of the whole table, returned as it was sent: compressed after the text
     * of the base (see compress_with_prefix()). Empty: the edit has none. */
    std::string document_;
};

/** The longest document of an edit, in bytes. */
constexpr std::size_t max_document_bytes = 8U * 1024 * 1024;

/** What became of an accept command. */
enum class accept_status : std::uint8_t { accepted, conflict, refused };

/** Returns the name of \p status. */
[[nodiscard]] auto name_of(accept_status status) -> std::string_view;

/** One cell that two operators changed from the same base, or a finding of the check. */
struct cell_conflict {
    std::string service_;
    table_column column_ = table_column::service;
    std::string current_;  ///< The cell now in the table.
    std::string proposed_; ///< The cell that was not accepted.

    [[nodiscard]] auto operator==(const cell_conflict&) const -> bool = default;
};

/** The outcome of an accept command. */
struct accept_outcome {
    accept_status status_ = accept_status::refused;
    table_version version_;                ///< The version now current.
    std::vector<cell_conflict> conflicts_; ///< Conflict: where the proposal differs.
    std::string message_;                  ///< Refused: why.

    [[nodiscard]] auto operator==(const accept_outcome&) const -> bool = default;
};

/** Returns \p command as bytes. */
[[nodiscard]] auto encode_command(const accept_command& command) -> std::string;

/** Reads a command back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_accept_command(std::string_view bytes) -> result<accept_command>;

/** Returns \p outcome as bytes. */
[[nodiscard]] auto encode_outcome(const accept_outcome& outcome) -> std::string;

/** Reads an outcome back. */
[[nodiscard]] auto decode_accept_outcome(std::string_view bytes) -> result<accept_outcome>;

} // namespace sycamorewinch
