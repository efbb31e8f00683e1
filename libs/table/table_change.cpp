#include "table/table_change.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sycamorewinch {

namespace {

auto key_of(const row& item) -> const std::string&
{
    return item.service_;
}

auto key_of(const organisation& item) -> const std::string&
{
    return item.name_;
}

auto add_digest(const digest& sum, const row& item) -> digest
{
    return add_row_digest(sum, item);
}

auto add_digest(const digest& sum, const organisation& item) -> digest
{
    return add_organisation_digest(sum, item);
}

auto subtract_digest(const digest& sum, const row& item) -> digest
{
    return subtract_row_digest(sum, item);
}

auto subtract_digest(const digest& sum, const organisation& item) -> digest
{
    return subtract_organisation_digest(sum, item);
}

/** The new item of each changed key; nullopt if the item is removed. */
template <typename Item>
using changed_items = std::map<std::string, std::optional<Item>>;

/** Merges a change into \p changed; an upsert overrides a removal of the same key. */
template <typename Item>
void merge_change(changed_items<Item>& changed, const std::vector<Item>& upserts,
                  const std::vector<std::string>& removals)
{
    for (const auto& key : removals) {
        changed[key] = std::nullopt;
    }
    for (const auto& item : upserts) {
        changed[key_of(item)] = item;
    }
}

template <typename Item>
void append_difference(const std::vector<Item>& from, const std::vector<Item>& to,
                       std::vector<Item>& upserts, std::vector<std::string>& removals)
{
    const auto find = [](const std::vector<Item>& items, const std::string& key) -> const Item* {
        const auto found = std::ranges::lower_bound(
            items, key, {}, [](const Item& item) -> const std::string& { return key_of(item); });
        return found != items.end() && key_of(*found) == key ? &*found : nullptr;
    };
    for (const auto& item : to) {
        const auto* old = find(from, key_of(item));
        if (old == nullptr || *old != item) {
            upserts.push_back(item);
        }
    }
    for (const auto& item : from) {
        if (find(to, key_of(item)) == nullptr) {
            removals.push_back(key_of(item));
        }
    }
}

// Merges the base with the changed items, both sorted by key. The digest is updated by subtracting
// the replaced and removed items and adding the new ones; unchanged items are not hashed again.
template <typename Item>
auto apply_items(const std::vector<Item>& base, const std::vector<Item>& upserts,
                 const std::vector<std::string>& removals, digest& sum) -> std::vector<Item>
{
    changed_items<Item> changed;
    merge_change(changed, upserts, removals);
    std::vector<Item> next;
    next.reserve(base.size() + upserts.size());
    auto changed_item = changed.begin();
    const auto append_changed_item = [&] {
        if (changed_item->second) {
            sum = add_digest(sum, *changed_item->second);
            next.push_back(std::move(*changed_item->second));
        }
        ++changed_item;
    };
    for (const auto& item : base) {
        while (changed_item != changed.end() && changed_item->first < key_of(item)) {
            append_changed_item();
        }
        if (changed_item == changed.end() || changed_item->first != key_of(item)) {
            next.push_back(item);
            continue;
        }
        sum = subtract_digest(sum, item);
        append_changed_item();
    }
    while (changed_item != changed.end()) {
        append_changed_item();
    }
    return next;
}

template <typename Item>
void split_changed(changed_items<Item>& changed, std::vector<Item>& upserts,
                   std::vector<std::string>& removals)
{
    for (auto& [key, item] : changed) {
        if (item) {
            upserts.push_back(std::move(*item));
        }
        else {
            removals.push_back(key);
        }
    }
}

} // namespace

auto difference(const table& from, const table& to) -> table_change
{
    table_change change;
    append_difference(from.rows_, to.rows_, change.upserts_, change.removals_);
    append_difference(from.organisations_, to.organisations_, change.organisation_upserts_,
                      change.organisation_removals_);
    if (from.bounds_ != to.bounds_) {
        change.bounds_ = to.bounds_;
    }
    return change;
}

auto apply_change(const table& base, const table_change& change, std::uint64_t number) -> table
{
    table next;
    next.version_ = {number, base.version_.digest_};
    auto& sum = next.version_.digest_;
    next.bounds_ = change.bounds_.value_or(base.bounds_);
    if (change.bounds_) {
        sum = add_bounds_digest(subtract_bounds_digest(sum, base.bounds_), next.bounds_);
    }
    next.rows_ = apply_items(base.rows_, change.upserts_, change.removals_, sum);
    next.organisations_ = apply_items(base.organisations_, change.organisation_upserts_,
                                      change.organisation_removals_, sum);
    return next;
}

auto combine(const table_change& earlier, const table_change& later) -> table_change
{
    changed_items<row> rows;
    changed_items<organisation> organisations;
    for (const auto* change : {&earlier, &later}) {
        merge_change(rows, change->upserts_, change->removals_);
        merge_change(organisations, change->organisation_upserts_, change->organisation_removals_);
    }
    table_change change;
    change.bounds_ = later.bounds_ ? later.bounds_ : earlier.bounds_;
    split_changed(rows, change.upserts_, change.removals_);
    split_changed(organisations, change.organisation_upserts_, change.organisation_removals_);
    return change;
}

} // namespace sycamorewinch
