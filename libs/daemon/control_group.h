/** \file
 * Dynamic membership of the control group as one control process sees it: its replica name, its
 * links to the members and, on the leader, the membership changes it proposes.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/control_replica.h"
#include "control/membership_planner.h"
#include "daemon/replica_links.h"
#include "settings/daemon_settings.h"
#include "storage/replica_store.h"

namespace sycamorewinch {

/** Returns the name of the replica whose disk is \p files, creating it on an empty disk. There a
 * founder also stores the first log entry, the membership of all founders, which is identical on
 * each of them; \p store is then reopened. Returns an error if the disk cannot be read or written.
 */
[[nodiscard]] auto establish_replica_name(const daemon_settings& settings, const file_system& files,
                                          replica_store& store, const random_hook& random)
    -> result<std::string>;

/** Tracks the membership of the group, requests to join it, and admits other replicas. */
class control_group {
  public:
    control_group(const daemon_settings& settings, replica_links& links,
                  std::function<control_replica&()> replica);

    /** Call a few times a second. Maintains the links to the members. The leader also proposes
     * membership changes; a replica that is not a voter or knows no leader requests to join. */
    void maintain(instant now);

    /** Handles the request of the replica named \p candidate to join. A follower forwards it to the
     * leader. */
    void on_join(const std::string& candidate, instant now);

    /** Replaces the seeds: the addresses that receive join requests besides the known members. */
    void set_seeds(std::vector<peer_address> seeds) { seeds_ = std::move(seeds); }

    /** Returns why the group must not accept tables yet, or nothing if it may. Until it has all its
     * voters, losing the tolerated number of disks could lose an accepted table. */
    [[nodiscard]] auto not_ready_reason(instant now) const -> std::optional<error>;

  private:
    void propose(const group_membership& next, instant now);
    void update_links();
    void request_to_join();

    replica_links& links_;
    std::function<control_replica&()> replica_;
    std::vector<peer_address> seeds_;
    membership_planner planner_;
    std::vector<std::string> linked_members_; ///< Names of the members that have links.
    instant started_at_ = monotonic_now();
};

} // namespace sycamorewinch
