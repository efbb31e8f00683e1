/** \file
 * The name of the replica of a control process in a group with dynamic membership.
 */
#pragma once

#include <string>
#include <vector>

#include "base/random.h"
#include "settings/daemon_settings.h"
#include "storage/replica_store.h"

namespace sycamorewinch {

/** Returns the names of the replicas that found a group at the addresses \p seeds, sorted. */
[[nodiscard]] auto founder_names(const std::vector<peer_address>& seeds)
    -> std::vector<std::string>;

/** Returns the name of the replica whose disk is \p files, creating it on an empty disk. There a
 * founder also stores the first log entry, the membership of all founders, which is identical on
 * each of them; \p store is then reopened. Returns an error if the disk cannot be read or written.
 */
[[nodiscard]] auto establish_replica_name(const daemon_settings& settings, const file_system& files,
                                          replica_store& store, const random_hook& random)
    -> result<std::string>;

} // namespace sycamorewinch
