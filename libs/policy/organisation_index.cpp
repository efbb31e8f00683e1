#include "policy/organisation_index.h"

namespace sycamorewinch {

auto organisation_index::create(std::shared_ptr<const table> table,
                                const organisation_state_hook& state_of)
    -> std::shared_ptr<const organisation_index>
{
    const std::shared_ptr<organisation_index> index(new organisation_index());
    index->table_ = std::move(table);
    if (!index->table_) {
        return index;
    }
    index->is_empty_ = index->table_->organisations_.empty();
    for (const auto& organisation : index->table_->organisations_) {
        const indexed_organisation entry{&organisation,
                                         state_of ? state_of(organisation.name_) : nullptr};
        for (const auto& key : organisation.keys_) {
            index->by_key_.emplace(key, entry);
        }
    }
    return index;
}

auto organisation_index::find(std::string_view api_key) const -> const indexed_organisation*
{
    if (by_key_.empty() || api_key.empty()) {
        return nullptr;
    }
    const auto found = by_key_.find(digest_of_api_key(api_key));
    return found == by_key_.end() ? nullptr : &found->second;
}

} // namespace sycamorewinch
