/** \file
 * The membership of the control group, as agreed in the replicated log.
 *
 * Voters elect leaders and commit entries. Learners receive the log but do not count toward
 * a quorum; a learner that has caught up may become a voter. A membership takes effect on a replica
 * as soon as its entry is in that replica's log, before it is committed. Consecutive memberships
 * differ in one voter at most, so that any quorum of one overlaps with any quorum of the other.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace sycamorewinch {

/** The members of the group, by replica name. */
struct group_membership {
    std::vector<std::string> voters_;
    std::vector<std::string> learners_;

    [[nodiscard]] auto operator==(const group_membership&) const -> bool = default;

    [[nodiscard]] auto is_voter(std::string_view name) const -> bool;
    [[nodiscard]] auto is_learner(std::string_view name) const -> bool;
    /** Returns all members, voters first. */
    [[nodiscard]] auto all() const -> std::vector<std::string>;
    [[nodiscard]] auto quorum() const -> std::size_t { return voters_.size() / 2 + 1; }
};

/** Returns whether \p next may replace \p before: at most one voter is added or removed, and at
 * least one voter remains. */
[[nodiscard]] auto is_valid_change(const group_membership& before, const group_membership& next)
    -> bool;

/** Encodes \p membership as CBOR. */
[[nodiscard]] auto encode_membership(const group_membership& membership) -> std::string;

/** Decodes a membership; malformed or oversized input is an error. */
[[nodiscard]] auto decode_membership(std::string_view bytes) -> result<group_membership>;

} // namespace sycamorewinch
