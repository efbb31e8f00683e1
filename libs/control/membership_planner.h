/** \file
 * Plans, on the leader, the next change of the control group's membership.
 *
 * A replica that requests to join becomes a learner. A learner that has caught up becomes a voter
 * at once, so that the group may have more voters than desired: several of them may then leave
 * without notice before the first one has been replaced. Surplus voters are removed as voters
 * leave: one whose disk was replaced by that of a later member at its address, one that has not
 * replied for voter_timeout_, and one that has said that it will end. A group never goes below the
 * desired number of voters, and no change is planned that the live ones of the next voters could
 * not commit: a voter that is about to end may be needed until others have been removed.
 *
 * Does no I/O: the inputs are the join requests, the membership and the leader's view of its peers;
 * the output is the next membership to propose.
 *
 * \code
 * planner.add_join_request("10.0.0.4:7000/51c2", now);
 * if (const auto next = planner.next(replica.membership(), view, now)) replica.propose(*next);
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

/** In a replica name, separates the address from the incarnation, which differs for each disk. */
constexpr char replica_incarnation_separator = '/';

/** Returns the address in the name of a replica of a group with dynamic membership: `IP:PORT` or
 * `IP:PORT/INCARNATION`. */
[[nodiscard]] auto replica_address_of(std::string_view name) -> std::string;

/** Returns how many voters a group needs to tolerate \p losses simultaneously lost disks. */
[[nodiscard]] constexpr auto voters_to_tolerate(std::size_t losses) -> std::size_t
{
    return 2 * losses + 1;
}

/** The configuration of the planner. */
struct membership_planner_options {
    std::size_t desired_voters_ = 3;
    /** A voter that has not replied for this long is removed if the group has surplus voters. It
     * becomes a voter again once it is back. With a lease that is longer, a leader still removes a
     * voter when half of the voters have become silent at once. */
    duration voter_timeout_ = std::chrono::milliseconds(800);
    /** A replica that has not replied for this long does not become a voter, and is not counted on
     * for the quorum of the next membership. */
    duration live_timeout_ = std::chrono::seconds(1);
    /** A learner that has not replied for this long is removed. */
    duration learner_timeout_ = std::chrono::seconds(10);
    /** A request to join or to leave expires after this time unless it is repeated. */
    duration request_lifetime_ = std::chrono::seconds(2);
    /** A learner has caught up when it lacks at most this many entries. */
    std::uint64_t max_learner_lag_entries_ = 16;
};

/** The leader's view of its group. */
struct leader_view {
    std::string leader_;
    std::uint64_t last_index_ = 0;
    const std::map<std::string, peer_progress>* peers_ = nullptr;
};

/** Plans membership changes that keep the group at the desired number of voters. */
class membership_planner {
  public:
    explicit membership_planner(membership_planner_options options) : options_(options) {}

    /** Records that the replica \p name requested to join. */
    void add_join_request(const std::string& name, instant now);

    /** Records that the process of the replica \p name is about to end. */
    void add_leave_request(const std::string& name, instant now);

    /** Returns whether the process of the replica \p name need not wait any longer before it ends:
     * the replica does not vote, or no other one can take its place. */
    [[nodiscard]] auto may_end(const std::string& name, const group_membership& membership,
                               instant now) const -> bool;

    /** Returns the membership to propose, or nothing if the current one should stay. */
    [[nodiscard]] auto next(const group_membership& membership, const leader_view& view,
                            instant now) -> std::optional<group_membership>;

    /** Returns whether the group has all the voters it can have now: either as many as desired, or
     * no learner or join request is left that could become a voter. */
    [[nodiscard]] auto is_complete(const group_membership& membership, instant now) const -> bool;

  private:
    /** Returns whether enough of the voters of \p next are live for a quorum. */
    [[nodiscard]] auto has_live_quorum(const group_membership& next, const leader_view& view,
                                       instant now) const -> bool;
    [[nodiscard]] auto is_live(const std::string& name, const leader_view& view, instant now) const
        -> bool;
    [[nodiscard]] auto add_learner(const group_membership& membership, instant now) const
        -> std::optional<group_membership>;
    [[nodiscard]] auto promote_learner(const group_membership& membership, const leader_view& view,
                                       instant now) const -> std::optional<group_membership>;
    [[nodiscard]] auto remove_departing_member(const group_membership& membership,
                                               const leader_view& view, instant now) const
        -> std::optional<group_membership>;
    /** Returns the voter to remove first: one that is gone before one that is leaving, and the
     * leader last. */
    [[nodiscard]] auto find_departing_voter(const group_membership& membership,
                                            const leader_view& view, instant now) const
        -> std::optional<std::string>;
    [[nodiscard]] auto has_candidate(const group_membership& membership, instant now) const -> bool;
    [[nodiscard]] auto is_leaving(const std::string& name) const -> bool
    {
        return leave_requests_.contains(name);
    }
    [[nodiscard]] auto max_voters() const -> std::size_t;

    membership_planner_options options_;
    std::map<std::string, instant> join_requests_;  ///< Time of the last request, by replica name.
    std::map<std::string, instant> leave_requests_; ///< Likewise.
};

} // namespace sycamorewinch
