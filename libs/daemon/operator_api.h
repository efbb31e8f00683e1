/** \file
 * The HTTP API of a control process for operators: `/v1/table`, `/v1/status` and so on.
 */
#pragma once

#include "control/control_replica.h"
#include "daemon/admin_server.h"
#include "distribution/publisher.h"

namespace sycamorewinch {

/** Access to the state that the API reads and changes. */
struct operator_api_hooks {
    std::function<control_replica&()> replica_;
    std::function<std::vector<zone_progress>()> progress_; ///< Merged over all replicas.
    /** Returns the replicas whose nodes are not counted in progress_. */
    std::function<std::vector<std::string>()> silent_replicas_;
    std::function<std::vector<target_record>()> targets_;
};

/** Adds the API's paths to \p server. */
void add_operator_api(admin_server& server, const operator_api_hooks& hooks);

} // namespace sycamorewinch
