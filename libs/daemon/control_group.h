/** \file
 * Dynamic membership of the control group as one control process sees it: its links to the members,
 * its requests to join and to leave, and, on the leader, the membership changes it proposes.
 *
 * A process that shuts down asks to leave and goes on as a voter until another replica has taken
 * its place, or none can. A leader hands over its role before it ends.
 *
 * The network is a set of hooks and the time is a parameter, so that tests can run whole groups
 * under virtual time.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/control_replica.h"
#include "control/membership_planner.h"
#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** The functions through which a control process reaches its replica and the other processes. */
struct control_group_hooks {
    std::function<control_replica&()> replica_;
    /** Maintains links to exactly the replicas in \p members. */
    std::function<void(const std::vector<std::string>& members)> connect_to_;
    /** Asks the replica named \p to to admit \p candidate to the group. */
    std::function<void(const std::string& to, const std::string& candidate)> send_join_;
    /** Tells the replica named \p to that the process of \p member is about to end. */
    std::function<void(const std::string& to, const std::string& member)> send_leave_;
    /** Tells the process of the replica named \p to that it may end. */
    std::function<void(const std::string& to)> send_leave_granted_;
};

/** The longest time for which a process that shuts down waits for a replica to take its place. */
constexpr duration max_leave_time = std::chrono::milliseconds(4'500);

/** Tracks the membership of the group, requests to join it, and admits other replicas. */
class control_group {
  public:
    control_group(const daemon_settings& settings, control_group_hooks hooks, instant now);

    /** Call a few times a second. Maintains the links to the members. A replica that is not a voter
     * or knows no leader requests to join. Includes tick(). */
    void maintain(instant now);

    /** Call many times a second: a leader proposes the membership changes that are due. */
    void tick(instant now);

    /** Handles the request of the replica named \p candidate to join. A follower forwards it to the
     * leader. */
    void on_join(const std::string& candidate, instant now);

    /** Begins to leave the group. Calls \p done once, at the latest max_leave_time later: when the
     * process may end. Until then it takes part as before, and maintain() must be called. */
    void leave(std::function<void()> done, instant now);

    /** Handles the notice that the process of \p member is about to end. A follower forwards it to
     * the leader. */
    void on_leave(const std::string& member, instant now);

    /** Handles the leader's answer that this process may end. */
    void on_leave_granted();

    /** Replaces the seeds: the addresses that receive join requests besides the known members. */
    void set_seeds(std::vector<peer_address> seeds) { seeds_ = std::move(seeds); }

    /** Returns why the group must not accept tables yet, or nothing if it may. Until it has all its
     * voters, losing the tolerated number of disks could lose an accepted table. */
    [[nodiscard]] auto not_ready_reason(instant now) const -> std::optional<error>;

  private:
    void propose(const group_membership& next, instant now);
    void update_links();
    void request_to_join();
    /** Returns the members and the seeds: all replicas that may know the leader. */
    [[nodiscard]] auto known_replicas() const -> std::vector<std::string>;
    void lead(instant now);
    void step_leave(instant now);
    void finish_leave(std::string_view reason);
    [[nodiscard]] auto may_end(const std::string& member, instant now) const -> bool;

    control_group_hooks hooks_;
    std::vector<peer_address> seeds_;
    membership_planner planner_;
    std::vector<std::string> linked_members_; ///< Names of the members that have links.
    instant started_at_{};
    bool is_leaving_ = false;       ///< Until the process ends.
    std::function<void()> on_left_; ///< Set until this process may end.
    instant leave_by_{};            ///< When it ends in any case.
};

} // namespace sycamorewinch
