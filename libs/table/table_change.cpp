#include "table/table_change.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sycamorewinch {

namespace {

using outcome_by_service = std::map<std::string, std::optional<row>>;

void put(outcome_by_service& outcomes, const table_change& change)
{
    for (const auto& service : change.removals_) {
        outcomes[service] = std::nullopt;
    }
    for (const auto& row : change.upserts_) {
        outcomes[row.service_] = row;
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

// Walks the rows and the outcomes side by side, both in order of service, and hashes only the rows
// that change.
auto apply_change(const table& base, const table_change& change, std::uint64_t number) -> table
{
    outcome_by_service outcomes;
    put(outcomes, change);
    table next;
    next.version_ = {number, base.version_.digest_};
    next.bounds_ = change.bounds_.value_or(base.bounds_);
    if (change.bounds_) {
        const auto rows_only = subtract_bounds_digest(next.version_.digest_, base.bounds_);
        next.version_.digest_ = add_bounds_digest(rows_only, next.bounds_);
    }
    next.rows_.reserve(base.rows_.size() + change.upserts_.size());
    auto outcome = outcomes.begin();
    const auto take_outcome = [&] {
        if (outcome->second) {
            next.version_.digest_ = add_row_digest(next.version_.digest_, *outcome->second);
            next.rows_.push_back(std::move(*outcome->second));
        }
        ++outcome;
    };
    for (const auto& row : base.rows_) {
        while (outcome != outcomes.end() && outcome->first < row.service_) {
            take_outcome();
        }
        if (outcome == outcomes.end() || outcome->first != row.service_) {
            next.rows_.push_back(row);
            continue;
        }
        next.version_.digest_ = subtract_row_digest(next.version_.digest_, row);
        take_outcome();
    }
    while (outcome != outcomes.end()) {
        take_outcome();
    }
    return next;
}

auto combine(const table_change& earlier, const table_change& later) -> table_change
{
    outcome_by_service outcomes;
    put(outcomes, earlier);
    put(outcomes, later);
    table_change change;
    change.bounds_ = later.bounds_ ? later.bounds_ : earlier.bounds_;
    for (auto& [service, outcome] : outcomes) {
        if (outcome) {
            change.upserts_.push_back(std::move(*outcome));
        }
        else {
            change.removals_.push_back(service);
        }
    }
    return change;
}

} // namespace sycamorewinch
