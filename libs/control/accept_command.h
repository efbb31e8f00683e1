/** \file
 * The command that accepts a new version of the table, its outcome, and their CBOR encoding.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/field_limits.h"
#include "base/result.h"
#include "table/table_change.h"
#include "table/table_csv.h"

namespace sycamorewinch {

/** A request to apply change_ to the table version base_ and accept the result as a new version. */
struct accept_command {
    std::string edit_id_;  ///< Idempotency: a resent id returns the first outcome.
    std::string operator_; ///< Author of the edit, for the history.
    table_version base_;   ///< Version the edit is based on; a conflict unless it is current.
    table_change change_;
    /** The number of the new version, chosen by the editor above the current one; 0: the next
     * number. */
    std::uint64_t number_ = 0;
    /** The whole table as a text in the editor's own format, stored and returned unchanged. It is
     * compressed relative to the text of the base version (see compress_with_prefix()). Empty:
     * none. */
    std::string document_;
};

/** The result of an accept command. */
enum class accept_status : std::uint8_t { accepted, conflict, refused };

/** Returns the name of \p status, as used in the operator API. */
[[nodiscard]] auto name_of(accept_status status) -> std::string_view;

/** A cell whose proposed value differs from the current table. */
struct cell_conflict {
    std::string service_;
    table_column column_ = table_column::service;
    std::string current_;  ///< Value in the current table.
    std::string proposed_; ///< Value in the edit, which was not accepted.

    [[nodiscard]] auto operator==(const cell_conflict&) const -> bool = default;
};

/** The outcome of an accept command. */
struct accept_outcome {
    accept_status status_ = accept_status::refused;
    table_version version_;                ///< The current version after the command.
    std::vector<cell_conflict> conflicts_; ///< On conflict: the cells that differ.
    std::string message_;                  ///< On conflict or refusal: the reason.

    [[nodiscard]] auto operator==(const accept_outcome&) const -> bool = default;
};

/** Encodes \p command as CBOR. */
[[nodiscard]] auto encode_command(const accept_command& command) -> std::string;

/** Decodes a command; malformed or oversized input is an error. */
[[nodiscard]] auto decode_accept_command(std::string_view bytes) -> result<accept_command>;

/** Encodes \p outcome as CBOR. */
[[nodiscard]] auto encode_outcome(const accept_outcome& outcome) -> std::string;

/** Decodes an outcome; malformed or oversized input is an error. */
[[nodiscard]] auto decode_accept_outcome(std::string_view bytes) -> result<accept_outcome>;

} // namespace sycamorewinch
