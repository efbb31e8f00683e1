/** \file
 * The state that every control replica builds from the committed log: the accepted table, its
 * history, and the outcomes of recent edits.
 *
 * Deterministic: the same commands in the same order give the same state everywhere.
 */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "control/accept_command.h"
#include "distribution/subscriber.h"

namespace sycamorewinch {

/** One accepted version in the history. */
struct history_entry {
    table_version version_;
    std::string operator_;
    std::string edit_id_;
    std::uint64_t rows_changed_ = 0;
};

/** How much the replicated state remembers. The same on every replica. */
struct state_limits {
    std::size_t remembered_edits_ = 8192; ///< An older edit sent again counts as a new one.
    std::size_t history_ = 1024;          ///< Accepted versions listed for operators.
};

/** The replicated state. */
class replicated_state {
  public:
    explicit replicated_state(state_limits limits = {});

    /** Applies one command. An edit id seen before gets its first outcome again; of edits whose
     * editor chose the number, only accepted ones are remembered, since the same text may be sent
     * again on another base. */
    auto apply(const accept_command& command) -> accept_outcome;

    [[nodiscard]] auto current() const -> const table_pointer& { return current_; }
    /** Returns the editor's own text of the current table; empty when it was edited without. */
    [[nodiscard]] auto document() const -> const std::string& { return document_; }
    /** Returns the outcome of an edit that was applied, while it is remembered. */
    [[nodiscard]] auto outcome_of(const std::string& edit_id) const
        -> std::optional<accept_outcome>;
    /** Returns the latest accepted versions, oldest first. */
    [[nodiscard]] auto history() const -> const std::deque<history_entry>& { return history_; }

    /** Returns the whole state as bytes, for a snapshot. */
    [[nodiscard]] auto encode() const -> std::string;
    /** Reads a state back; damaged input is an error. */
    [[nodiscard]] static auto decode(std::string_view bytes, state_limits limits)
        -> result<replicated_state>;

  private:
    auto decide(const accept_command& command) -> accept_outcome;
    void remember(const std::string& edit_id, const accept_outcome& outcome);

    state_limits limits_;
    table_pointer current_;
    std::string document_;
    std::map<std::string, accept_outcome> outcomes_;
    std::deque<std::string> outcome_order_;
    std::deque<history_entry> history_;
};

} // namespace sycamorewinch
