#include "table/table_change.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sycamorewinch {

namespace {

/** The new row of each changed service; nullopt if the service is removed. */
using changed_rows_by_service = std::map<std::string, std::optional<row>>;

/** Merges \p change into \p changed_rows; an upsert overrides a removal of the same service. */
void merge_change(changed_rows_by_service& changed_rows, const table_change& change)
{
    for (const auto& service : change.removals_) {
        changed_rows[service] = std::nullopt;
    }
    for (const auto& row : change.upserts_) {
        changed_rows[row.service_] = row;
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

// Merges the rows of the base with the changed rows, both sorted by service. The digest is updated
// by subtracting the replaced and removed rows and adding the new ones; unchanged rows are not
// hashed again.
auto apply_change(const table& base, const table_change& change, std::uint64_t number) -> table
{
    changed_rows_by_service changed_rows;
    merge_change(changed_rows, change);
    table next;
    next.version_ = {number, base.version_.digest_};
    next.bounds_ = change.bounds_.value_or(base.bounds_);
    if (change.bounds_) {
        const auto rows_digest = subtract_bounds_digest(next.version_.digest_, base.bounds_);
        next.version_.digest_ = add_bounds_digest(rows_digest, next.bounds_);
    }
    next.rows_.reserve(base.rows_.size() + change.upserts_.size());
    auto changed_row = changed_rows.begin();
    const auto append_changed_row = [&] {
        if (changed_row->second) {
            next.version_.digest_ = add_row_digest(next.version_.digest_, *changed_row->second);
            next.rows_.push_back(std::move(*changed_row->second));
        }
        ++changed_row;
    };
    for (const auto& row : base.rows_) {
        while (changed_row != changed_rows.end() && changed_row->first < row.service_) {
            append_changed_row();
        }
        if (changed_row == changed_rows.end() || changed_row->first != row.service_) {
            next.rows_.push_back(row);
            continue;
        }
        next.version_.digest_ = subtract_row_digest(next.version_.digest_, row);
        append_changed_row();
    }
    while (changed_row != changed_rows.end()) {
        append_changed_row();
    }
    return next;
}

auto combine(const table_change& earlier, const table_change& later) -> table_change
{
    changed_rows_by_service changed_rows;
    merge_change(changed_rows, earlier);
    merge_change(changed_rows, later);
    table_change change;
    change.bounds_ = later.bounds_ ? later.bounds_ : earlier.bounds_;
    for (auto& [service, changed_row] : changed_rows) {
        if (changed_row) {
            change.upserts_.push_back(std::move(*changed_row));
        }
        else {
            change.removals_.push_back(service);
        }
    }
    return change;
}

} // namespace sycamorewinch
