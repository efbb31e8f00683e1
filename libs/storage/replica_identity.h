/** \file
 * The name of a replica in a group whose membership changes, stored in the file `identity`.
 *
 * A replica that restarts with an empty disk has lost its vote and its log and must not be taken
 * for the old one, so it gets a new name: its address and a random suffix. The founders of a group
 * are named by their address alone, so that each knows the names of the others beforehand.
 */
#pragma once

#include <string>

#include "base/random.h"
#include "base/result.h"
#include "storage/file_system.h"

namespace sycamorewinch {

/** The name of a replica and whether it was just created. */
struct replica_identity {
    std::string name_;
    bool is_new_ = false; ///< No name was stored before.
};

/** Returns the stored name. If there is none, creates a name and stores it durably: \p address for
 * a \p founder, otherwise `ADDRESS/` and 8 random hexadecimal digits. Errors: corrupt for a stored
 * name of more than 64 bytes, otherwise those of \p files. */
[[nodiscard]] auto load_or_create_identity(const file_system& files, const std::string& address,
                                           bool founder, const random_hook& random)
    -> result<replica_identity>;

} // namespace sycamorewinch
