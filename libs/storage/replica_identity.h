/** \file
 * The name of a replica of a changing group, kept on its disk.
 *
 * A replica is known by its address and its disk: one that comes back with an empty disk has lost
 * its votes and its log, and so takes a new name. Only the replicas that found a group are called
 * by their address alone, so that each knows the others' names beforehand.
 */
#pragma once

#include <string>

#include "base/random.h"
#include "base/result.h"
#include "storage/file_system.h"

namespace sycamorewinch {

/** Who a replica is. */
struct replica_identity {
    std::string name_;
    bool is_new_ = false; ///< The disk was empty.
};

/** Reads the name from the disk; on an empty one, stores a new name durably: \p address for a
 * \p founder, else the address and a random life. */
[[nodiscard]] auto open_identity(const file_system& files, const std::string& address, bool founder,
                                 const random_hook& random) -> result<replica_identity>;

} // namespace sycamorewinch
