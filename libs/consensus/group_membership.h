/** \file
 * Which replicas make up the control group, as agreed in the replicated log.
 *
 * Voters elect leaders and commit entries. Learners receive the log and count for nothing; a
 * learner that has caught up may become a voter. A membership is in force on a replica as soon as
 * its entry is in that replica's log. Two memberships that follow one another differ in one voter
 * at most, so that any quorum of one and any quorum of the other have a replica in common.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace sycamorewinch {

/** The members of the group, by name. */
struct group_membership {
    std::vector<std::string> voters_;
    std::vector<std::string> learners_;

    [[nodiscard]] auto operator==(const group_membership&) const -> bool = default;

    [[nodiscard]] auto is_voter(std::string_view name) const -> bool;
    [[nodiscard]] auto is_learner(std::string_view name) const -> bool;
    /** Returns every member, voters first. */
    [[nodiscard]] auto all() const -> std::vector<std::string>;
    [[nodiscard]] auto quorum() const -> std::size_t { return voters_.size() / 2 + 1; }
};

/** Returns whether \p next may follow \p before: one voter more or less at most, and at least one
 * left. */
[[nodiscard]] auto may_follow(const group_membership& before, const group_membership& next) -> bool;

/** Returns \p membership as bytes. */
[[nodiscard]] auto encode_membership(const group_membership& membership) -> std::string;

/** Reads a membership back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_membership(std::string_view bytes) -> result<group_membership>;

} // namespace sycamorewinch
