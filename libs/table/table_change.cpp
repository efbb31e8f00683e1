#include "table/table_change.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sycamorewinch {

namespace {

/** The row that each changed service ends up with; nullopt if it is removed. */
using rows_by_service = std::map<std::string, std::optional<row>>;

void record_change(rows_by_service& final_rows, const table_change& change)
{
    for (const auto& service : change.removals_) {
        final_rows[service] = std::nullopt;
    }
    for (const auto& row : change.upserts_) {
        final_rows[row.service_] = row;
    }
}

} // namespace

auto difference(const table& from, const table& to) -> table_change
{
    table_change change;
    for (const auto& row : to.rows_) {
        const auto* old = from.find(row.service_);
        if (old == nullptr || *old != row) {
            change.upserts_.push_back(row);
        }
    }
    for (const auto& row : from.rows_) {
        if (to.find(row.service_) == nullptr) {
            change.removals_.push_back(row.service_);
        }
    }
    if (from.bounds_ != to.bounds_) {
        change.bounds_ = to.bounds_;
    }
    return change;
}

// Merges the rows of the base with the changed rows, both sorted by service, and hashes only the
// rows that change.
auto apply_change(const table& base, const table_change& change, std::uint64_t number) -> table
{
    rows_by_service final_rows;
    record_change(final_rows, change);
    table next;
    next.version_ = {number, base.version_.digest_};
    next.bounds_ = change.bounds_.value_or(base.bounds_);
    if (change.bounds_) {
        const auto rows_only = subtract_bounds_digest(next.version_.digest_, base.bounds_);
        next.version_.digest_ = add_bounds_digest(rows_only, next.bounds_);
    }
    next.rows_.reserve(base.rows_.size() + change.upserts_.size());
    auto final_row = final_rows.begin();
    const auto take_final_row = [&] {
        if (final_row->second) {
            next.version_.digest_ = add_row_digest(next.version_.digest_, *final_row->second);
            next.rows_.push_back(std::move(*final_row->second));
        }
        ++final_row;
    };
    for (const auto& row : base.rows_) {
        while (final_row != final_rows.end() && final_row->first < row.service_) {
            take_final_row();
        }
        if (final_row == final_rows.end() || final_row->first != row.service_) {
            next.rows_.push_back(row);
            continue;
        }
        next.version_.digest_ = subtract_row_digest(next.version_.digest_, row);
        take_final_row();
    }
    while (final_row != final_rows.end()) {
        take_final_row();
    }
    return next;
}

auto combine(const table_change& earlier, const table_change& later) -> table_change
{
    rows_by_service final_rows;
    record_change(final_rows, earlier);
    record_change(final_rows, later);
    table_change change;
    change.bounds_ = later.bounds_ ? later.bounds_ : earlier.bounds_;
    for (auto& [service, final_row] : final_rows) {
        if (final_row) {
            change.upserts_.push_back(std::move(*final_row));
        }
        else {
            change.removals_.push_back(service);
        }
    }
    return change;
}

} // namespace sycamorewinch
