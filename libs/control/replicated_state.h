/** \file
 * The state that every control replica builds from the committed log: the accepted table, its
 * history, and the outcomes of recent edits.
 *
 * Deterministic: replicas that apply the same commands in the same order have the same state.
 */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "control/accept_command.h"
#include "distribution/subscriber.h"

namespace sycamorewinch {

/** One accepted table version in the history. */
struct history_entry {
    table_version version_;
    std::string operator_;
    std::string edit_id_;
    std::uint64_t rows_changed_ = 0;
};

/** How many items the replicated state retains. Must be the same on every replica. */
struct state_limits {
    std::size_t retained_edits_ = 8192; ///< Edit outcomes; older edits count as new when resent.
    std::size_t history_ = 1024;        ///< Accepted versions, listed for operators.
};

/** The replicated state. */
class replicated_state {
  public:
    explicit replicated_state(state_limits limits = {});

    /** Applies one command. A retained edit id returns its first outcome again. Of edits whose
     * editor chose the version number, only accepted ones are retained, since the same edit may be
     * resent on another base. */
    auto apply(const accept_command& command) -> accept_outcome;

    [[nodiscard]] auto current() const -> const table_pointer& { return current_; }
    /** Returns the accept_command::document_ of the current version, uncompressed; empty when the
     * edit had none. */
    [[nodiscard]] auto document() const -> const std::string& { return document_; }
    /** Returns the outcome of an applied edit, or nothing when it is no longer retained. */
    [[nodiscard]] auto outcome_of(const std::string& edit_id) const
        -> std::optional<accept_outcome>;
    /** Returns the most recent accepted versions, oldest first. */
    [[nodiscard]] auto history() const -> const std::deque<history_entry>& { return history_; }

    /** Encodes the whole state as CBOR, for a snapshot. */
    [[nodiscard]] auto encode() const -> std::string;
    /** Decodes a state; malformed input and a table that does not match its digest are errors. */
    [[nodiscard]] static auto decode(std::string_view bytes, state_limits limits)
        -> result<replicated_state>;

  private:
    auto apply_new_edit(const accept_command& command) -> accept_outcome;
    void retain_outcome(const std::string& edit_id, const accept_outcome& outcome);

    state_limits limits_;
    table_pointer current_;
    std::string document_;
    std::map<std::string, accept_outcome> outcomes_;
    std::deque<std::string> outcome_order_;
    std::deque<history_entry> history_;
};

} // namespace sycamorewinch
