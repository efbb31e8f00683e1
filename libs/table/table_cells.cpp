#include "table/table_cells.h"

#include <array>
#include <set>

namespace sycamorewinch {

namespace {

constexpr auto all_columns = [] {
    std::array<table_column, table_column_count> columns{};
    for (std::size_t index = 0; index < columns.size(); ++index) {
        columns.at(index) = static_cast<table_column>(index);
    }
    return columns;
}();

/** Returns the text of a cell, or an empty text if \p value is nullptr. */
auto text_or_empty(const row* value, table_column column) -> std::string
{
    return value == nullptr ? std::string() : cell_text(*value, column);
}

auto are_equal(const row* left, const row* right) -> bool
{
    if (left == nullptr || right == nullptr) {
        return left == right;
    }
    return *left == *right;
}

auto services_of(std::initializer_list<const table*> tables) -> std::set<std::string>
{
    std::set<std::string> services;
    for (const auto* table : tables) {
        for (const auto& row : table->rows_) {
            services.insert(row.service_);
        }
    }
    return services;
}

/** The rows of one service in the three tables; nullptr where a table has none. */
struct row_versions {
    const row* base_ = nullptr;
    const row* theirs_ = nullptr;
    const row* mine_ = nullptr;
};

auto make_conflict(const std::string& service, table_column column, const row_versions& rows)
    -> merge_conflict
{
    return {service, column, text_or_empty(rows.base_, column), text_or_empty(rows.theirs_, column),
            text_or_empty(rows.mine_, column)};
}

/** Merges a row that both sides have and changed in different ways. */
auto merge_cells(const std::string& service, const row_versions& rows, merged_table& merged) -> row
{
    row merged_row = *rows.mine_;
    for (const auto column : all_columns) {
        const auto cell = make_conflict(service, column, rows);
        if (cell.mine_ == cell.theirs_ || cell.theirs_ == cell.base_) {
            continue;
        }
        if (cell.mine_ != cell.base_) {
            merged.conflicts_.push_back(cell);
            continue;
        }
        // Cannot fail: the text was produced from a valid row.
        static_cast<void>(set_cell(merged_row, column, cell.theirs_));
    }
    return merged_row;
}

void merge_row(const std::string& service, const row_versions& rows, merged_table& merged)
{
    const auto keep = [&merged](const row* value) {
        if (value != nullptr) {
            merged.rows_.push_back(*value);
        }
    };
    if (are_equal(rows.mine_, rows.base_)) {
        keep(rows.theirs_);
        return;
    }
    if (are_equal(rows.theirs_, rows.base_) || are_equal(rows.theirs_, rows.mine_)) {
        keep(rows.mine_);
        return;
    }
    if (rows.mine_ == nullptr || rows.theirs_ == nullptr) {
        // One side removed the row and the other side changed it.
        merged.conflicts_.push_back(make_conflict(service, table_column::service, rows));
        keep(rows.mine_);
        return;
    }
    merged.rows_.push_back(merge_cells(service, rows, merged));
}

} // namespace

auto changed_cells(const table& from, const table& to) -> std::vector<cell_change>
{
    std::vector<cell_change> cells;
    for (const auto& service : services_of({&from, &to})) {
        const auto* before = from.find(service);
        const auto* after = to.find(service);
        if (after == nullptr) {
            cells.push_back({service, table_column::service, service, ""});
            continue;
        }
        for (const auto column : all_columns) {
            const auto old_text = text_or_empty(before, column);
            const auto new_text = text_or_empty(after, column);
            if (old_text != new_text) {
                cells.push_back({service, column, old_text, new_text});
            }
        }
    }
    return cells;
}

auto merge_tables(const table& base, const table& theirs, const table& mine) -> merged_table
{
    merged_table merged;
    for (const auto& service : services_of({&base, &theirs, &mine})) {
        merge_row(service, {base.find(service), theirs.find(service), mine.find(service)}, merged);
    }
    return merged;
}

} // namespace sycamorewinch
