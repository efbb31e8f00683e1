/** \file
 * One call received from a caller, from its header to the end of its response: it is routed,
 * attempted at one or more targets, and answered.
 */
#pragma once

#include <memory>

#include "http1/http1_server_connection.h"
#include "request_path/local_exchange.h"
#include "request_path/node_state.h"
#include "request_path/peer_exchange.h"
#include "request_path/refusal_response.h"
#include "request_path/worker_quotas.h"

namespace sycamorewinch {

/** The state that a call uses: that of its node and of its worker thread. */
struct call_environment {
    node_state& node_;
    target_connections& targets_;
    peer_connections& peers_;
    worker_quotas& quotas_;
    random_hook random_;
    resource_guard* guard_ = nullptr; ///< Of the thread; null: what calls hold is not counted.
};

/** Starts a call whose header arrived on \p connection; returns the hooks that receive its body. */
[[nodiscard]] auto start_caller_call(const call_environment& environment,
                                     const std::shared_ptr<http1_server_connection>& connection,
                                     message_head head) -> request_hooks;

} // namespace sycamorewinch
