/** \file
 * The operators' HTTP interface of a control process: `/v1/table`, `/v1/status` and so on.
 */
#pragma once

#include "control/control_replica.h"
#include "daemon/admin_server.h"
#include "distribution/publisher.h"

namespace sycamorewinch {

/** What the interface reads and changes. */
struct operator_api_hooks {
    std::function<control_replica&()> replica_;
    std::function<std::vector<zone_progress>()> progress_; ///< Over all replicas' publishers.
    std::function<std::vector<std::string>()> silent_; ///< Replicas whose nodes are not counted.
    std::function<std::vector<target_record>()> targets_;
};

/** Adds the operators' paths to \p server. */
void add_operator_api(admin_server& server, const operator_api_hooks& hooks);

} // namespace sycamorewinch
