#include "control/replicated_state.h"

#include <fmt/core.h>

#include "table/table_check.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_conflict_cells = 256;

/** Returns the cells in which \p proposed differs from \p current. */
void compare_rows(const row* current, const row& proposed, std::vector<cell_conflict>& cells)
{
    for (std::size_t index = 0; index < table_column_count; ++index) {
        const auto column = static_cast<table_column>(index);
        const auto now = current == nullptr ? std::string() : cell_text(*current, column);
        const auto wanted = cell_text(proposed, column);
        if (now != wanted && cells.size() < max_conflict_cells) {
            cells.push_back({proposed.service_, column, now, wanted});
        }
    }
}

auto conflict_cells(const table& current, const table_change& change) -> std::vector<cell_conflict>
{
    std::vector<cell_conflict> cells;
    for (const auto& row : change.upserts_) {
        compare_rows(current.find(row.service_), row, cells);
    }
    for (const auto& service : change.removals_) {
        if (current.find(service) != nullptr && cells.size() < max_conflict_cells) {
            cells.push_back({service, table_column::service, service, ""});
        }
    }
    return cells;
}

} // namespace

replicated_state::replicated_state(state_limits limits)
    : limits_(limits), current_(std::make_shared<const table>(make_table(0, {})))
{
}

auto replicated_state::apply(const accept_command& command) -> accept_outcome
{
    if (const auto first = outcome_of(command.edit_id_)) {
        return *first;
    }
    auto outcome = decide(command);
    remember(command.edit_id_, outcome);
    return outcome;
}

auto replicated_state::decide(const accept_command& command) -> accept_outcome
{
    if (command.base_ != current_->version_) {
        return {accept_status::conflict, current_->version_,
                conflict_cells(*current_, command.change_),
                fmt::format("the table is at version {}, the edit starts from {}",
                            to_text(current_->version_), to_text(command.base_))};
    }
    auto next = apply_change(*current_, command.change_, current_->version_.number_ + 1);
    if (const auto findings = check_table(next.rows_); !findings.empty()) {
        const auto& first = findings.front();
        return {accept_status::refused,
                current_->version_,
                {},
                fmt::format("{}, column {}: {}", first.service_, name_of(first.column_),
                            first.message_)};
    }
    if (next.version_.digest_ == current_->version_.digest_) {
        return {accept_status::refused, current_->version_, {}, "the edit changes nothing"};
    }
    current_ = std::make_shared<const table>(std::move(next));
    history_.push_back({current_->version_, command.operator_, command.edit_id_,
                        command.change_.upserts_.size() + command.change_.removals_.size()});
    if (history_.size() > limits_.history_) {
        history_.pop_front();
    }
    return {accept_status::accepted, current_->version_, {}, {}};
}

void replicated_state::remember(const std::string& edit_id, const accept_outcome& outcome)
{
    outcomes_[edit_id] = outcome;
    outcome_order_.push_back(edit_id);
    if (outcome_order_.size() > limits_.remembered_edits_) {
        outcomes_.erase(outcome_order_.front());
        outcome_order_.pop_front();
    }
}

auto replicated_state::outcome_of(const std::string& edit_id) const -> std::optional<accept_outcome>
{
    const auto found = outcomes_.find(edit_id);
    if (found == outcomes_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace sycamorewinch
