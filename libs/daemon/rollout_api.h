/** \file
 * The HTTP API of a control process for roll-outs: `/v1/rollouts`.
 */
#pragma once

#include "daemon/admin_server.h"
#include "daemon/rollout_service.h"

namespace sycamorewinch {

/** Adds the path to \p server. POST of `{"service":..,"version":..,"duration_s":..}` gives an
 * order; the response is 202 until it is committed, and the same request must then be sent again.
 * GET lists the latest roll-out of every service with its steps. Both are answered by the leader.
 */
void add_rollout_api(admin_server& server, rollout_service& service,
                     const std::function<control_replica&()>& replica);

} // namespace sycamorewinch
