/** \file
 * The operator API of a node that drains targets and returns them to service.
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

/** Receives the changed records, to apply them on this node and report them upstream. */
using drain_hook = std::function<void(const std::vector<target_record>& changed)>;

/** Adds `/v1/drain` to \p server. The response lists the changed records. */
void add_drain_api(admin_server& server, target_registry& registry, drain_hook on_changed);

} // namespace sycamorewinch
