/** \file
 * Decides, on the leader, which change of the control group's membership comes next.
 *
 * A replica that asks to join becomes a learner. A learner that has caught up becomes a voter when
 * the group has fewer voters than wanted, or in place of one that is lost: one that was silent for
 * long, or whose address a replica with a fresh disk has taken over. The lost one is taken out once
 * its successor votes, so that the group never has fewer voters than before.
 *
 * Pure: who asked, the membership and the leader's view of its peers go in; the next membership
 * comes out.
 *
 * \code
 * keeper.add_join_request("10.0.0.4:7000/51c2", now);
 * if (const auto next = keeper.next(replica.membership(), view, now)) replica.propose(*next);
 * \endcode
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "consensus/group_membership.h"
#include "consensus/peer_progress.h"

namespace sycamorewinch {

/** Separates a replica's address from what tells its disks apart in its name. */
constexpr char replica_life_separator = '/';

/** Returns the address in the name of a replica of a changing group: `IP:PORT` or
 * `IP:PORT/LIFE`. */
[[nodiscard]] auto replica_address_of(std::string_view name) -> std::string;

/** How many voters a group that is to bear \p losses lost disks at once needs. */
[[nodiscard]] constexpr auto voters_to_tolerate(std::size_t losses) -> std::size_t
{
    return 2 * losses + 1;
}

/** How the group is kept. */
struct membership_planner_options {
    std::size_t desired_voters_ = 3;
    /** A voter that was silent for so long is replaced if there is a successor. */
    duration lost_after_ = std::chrono::seconds(3);
    /** A learner that was silent for so long is let go. */
    duration learner_lost_after_ = std::chrono::seconds(10);
    /** A request to join counts for so long. */
    duration candidate_lasts_ = std::chrono::seconds(2);
    /** A learner that lacks at most so many entries has caught up. */
    std::uint64_t entries_behind_ = 16;
};

/** What a leader knows of its group. */
struct leader_view {
    std::string leader_;
    std::uint64_t last_index_ = 0;
    const std::map<std::string, peer_progress>* peers_ = nullptr;
};

/** Keeps the group at its size. */
class membership_planner {
  public:
    explicit membership_planner(membership_planner_options options) : options_(options) {}

    /** A replica called \p name asked to join. */
    void add_join_request(const std::string& name, instant now) { candidates_[name] = now; }

    /** Returns the membership to propose, if the one in force should change. */
    [[nodiscard]] auto next(const group_membership& membership, const leader_view& view,
                            instant now) -> std::optional<group_membership>;

    /** Returns whether the group has all the voters that it can have now: as many as wanted, or no
     * replica is known that could become one. */
    [[nodiscard]] auto is_complete(const group_membership& membership, instant now) const -> bool;

  private:
    [[nodiscard]] auto let_in(const group_membership& membership, instant now) const
        -> std::optional<group_membership>;
    [[nodiscard]] auto promote(const group_membership& membership, const leader_view& view,
                               instant now) const -> std::optional<group_membership>;
    [[nodiscard]] auto take_out(const group_membership& membership, const leader_view& view,
                                instant now) const -> std::optional<group_membership>;
    [[nodiscard]] auto find_lost_voter(const group_membership& membership, const leader_view& view,
                                       instant now) const -> std::optional<std::string>;

    membership_planner_options options_;
    std::map<std::string, instant> candidates_; ///< When each asked last.
};

} // namespace sycamorewinch
