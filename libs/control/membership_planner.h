/** \file
 * Plans, on the leader, the next change of the control group's membership.
 *
 * A replica that requests to join becomes a learner. A learner that has caught up becomes a voter
 * when the group has fewer voters than desired, or to replace a lost voter. A voter is lost when it
 * has not replied for voter_timeout_, or when a replica with a new disk has joined at its address.
 * The lost voter is removed only after its replacement has become a voter, so that the group never
 * has fewer voters than before.
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
    /** A voter that has not replied for this long is replaced if a caught-up learner exists. */
    duration voter_timeout_ = std::chrono::seconds(3);
    /** A learner that has not replied for this long is removed. */
    duration learner_timeout_ = std::chrono::seconds(10);
    /** A join request expires after this time unless it is repeated. */
    duration join_request_lifetime_ = std::chrono::seconds(2);
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
    void add_join_request(const std::string& name, instant now) { join_requests_[name] = now; }

    /** Returns the membership to propose, or nothing if the current one should stay. */
    [[nodiscard]] auto next(const group_membership& membership, const leader_view& view,
                            instant now) -> std::optional<group_membership>;

    /** Returns whether the group has all the voters it can have now: either as many as desired, or
     * no learner or join request is left that could become a voter. */
    [[nodiscard]] auto is_complete(const group_membership& membership, instant now) const -> bool;

  private:
    [[nodiscard]] auto add_learner(const group_membership& membership, instant now) const
        -> std::optional<group_membership>;
    [[nodiscard]] auto promote_learner(const group_membership& membership, const leader_view& view,
                                       instant now) const -> std::optional<group_membership>;
    [[nodiscard]] auto remove_lost_member(const group_membership& membership,
                                          const leader_view& view, instant now) const
        -> std::optional<group_membership>;
    [[nodiscard]] auto find_lost_voter(const group_membership& membership, const leader_view& view,
                                       instant now) const -> std::optional<std::string>;

    membership_planner_options options_;
    std::map<std::string, instant> join_requests_; ///< Time of the last request, by replica name.
};

} // namespace sycamorewinch
