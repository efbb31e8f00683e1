/** \file
 * Chooses the nodes that hold the quota of an organisation, by rendezvous hashing, so that all
 * nodes that know the same nodes choose the same ones.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorewinch {

/** The holder, and the nodes that stand in for it in turn. */
constexpr std::size_t holder_candidates = 5;

/** The nodes that may hold quotas. */
struct quota_nodes {
    std::string own_;                    ///< Address of this node.
    std::vector<std::string> addresses_; ///< Of all nodes with targets up; sorted, unique.

    [[nodiscard]] auto operator==(const quota_nodes&) const -> bool = default;
};

/** Returns the first \p count of \p addresses in the rendezvous order of \p organisation. */
[[nodiscard]] auto choose_holders(std::string_view organisation,
                                  const std::vector<std::string>& addresses,
                                  std::size_t count = holder_candidates)
    -> std::vector<std::string>;

/** Returns whether \p nodes.own_ is the holder for \p organisation. */
[[nodiscard]] auto is_holder(std::string_view organisation, const quota_nodes& nodes) -> bool;

} // namespace sycamorewinch
