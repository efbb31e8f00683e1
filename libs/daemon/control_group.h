/** \file
 * A control process's part in a group that forms and changes by itself: its name, its links to the
 * members, and, on the leader, the next membership.
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

/** Returns the name of the replica whose disk is \p files. On an empty disk a founder also stores
 * the first entry of the log, which is the same on all founders: the group that they make up. \p
 * store is then opened anew. */
[[nodiscard]] auto open_replica_name(const daemon_settings& settings, const file_system& files,
                                     replica_store& store, const random_hook& random)
    -> result<std::string>;

/** Follows the group, asks to be let in, and lets others in. */
class control_group {
  public:
    control_group(const daemon_settings& settings, replica_links& links,
                  std::function<control_replica&()> replica);

    /** Call a few times a second: keeps links to the members. The leader also proposes what should
     * change; a replica without a leader, or that is no voter, asks to join. */
    void keep(instant now);

    /** The replica called \p candidate asks to join. */
    void on_join(const std::string& candidate, instant now);

    /** Replaces the seeds, which are asked by a replica that knows no members in touch. */
    void set_seeds(std::vector<peer_address> seeds) { seeds_ = std::move(seeds); }

    /** Returns why no table may be accepted yet, or nothing: before the group has its voters,
     * losing as many disks as are tolerated could lose an accepted table. */
    [[nodiscard]] auto not_ready_reason(instant now) const -> std::optional<error>;

  private:
    void propose(const group_membership& next, instant now);
    void follow_membership();
    void ask_to_join();

    replica_links& links_;
    std::function<control_replica&()> replica_;
    std::vector<peer_address> seeds_;
    membership_planner planner_;
    std::vector<std::string> linked_to_; ///< Names of the members that links are kept to.
    instant started_ = monotonic_now();
};

} // namespace sycamorewinch
