/** \file
 * The operators' path of a node by which targets are drained and put back to work.
 *
 * \code
 * POST /v1/drain {"service":"dialer","target":"d1","draining":true}   one target
 * POST /v1/drain {"draining":false}                                    the whole node
 * \endcode
 */
#pragma once

#include "daemon/admin_server.h"
#include "daemon/target_registry.h"

namespace sycamorewinch {

/** Receives the records that changed, to be put in force here and told to the system. */
using drain_hook = std::function<void(const std::vector<target_record>& changed)>;

/** Adds `/v1/drain` to \p server. The answer lists the records that changed. */
void add_drain_api(admin_server& server, target_registry& registry, drain_hook on_changed);

} // namespace sycamorewinch
