/** \file
 * The organisations of one table by the digests of their API keys.
 *
 * An index is immutable. It is created once for each table and shared by the route tables that are
 * built for it.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/digest.h"
#include "policy/organisation_state.h"
#include "table/table.h"

namespace sycamorewinch {

/** An organisation of a table, with this node's state of it. */
struct indexed_organisation {
    const organisation* organisation_ = nullptr; ///< Into the table held by the index.
    std::shared_ptr<organisation_state> state_;  ///< Null without a hook.
};

/** Returns the state of an organisation, which is shared by successive indexes. */
using organisation_state_hook =
    std::function<std::shared_ptr<organisation_state>(const std::string& name)>;

/** Finds organisations by API key. */
class organisation_index {
  public:
    /** \p table may be null. */
    [[nodiscard]] static auto create(std::shared_ptr<const table> table,
                                     const organisation_state_hook& state_of = {})
        -> std::shared_ptr<const organisation_index>;

    /** Returns whether the table has no organisations, so that calls need no API key. */
    [[nodiscard]] auto empty() const -> bool { return is_empty_; }
    /** Returns the organisation that holds \p api_key, or nullptr if none does. */
    [[nodiscard]] auto find(std::string_view api_key) const -> const indexed_organisation*;

  private:
    struct key_hash {
        [[nodiscard]] auto operator()(const digest& key) const -> std::size_t { return key.low_; }
    };

    organisation_index() = default;

    std::shared_ptr<const table> table_;
    std::unordered_map<digest, indexed_organisation, key_hash> by_key_;
    bool is_empty_ = true;
};

} // namespace sycamorewinch
