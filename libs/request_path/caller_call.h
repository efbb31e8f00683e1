/** \file
 * One call of a caller, from its header to the end of its answer: route, attempts, answer.
 */
#pragma once

#include <memory>

#include "http1/http1_server_connection.h"
#include "request_path/local_exchange.h"
#include "request_path/node_state.h"
#include "request_path/peer_exchange.h"
#include "request_path/refusal_answer.h"

namespace sycamorewinch {

/** What a call needs of its thread. */
struct call_environment {
    node_state& node_;
    target_connections& targets_;
    peer_connections& peers_;
    random_hook random_;
};

/** Starts a call whose header arrived on \p connection; returns the hooks of its body. */
[[nodiscard]] auto start_caller_call(const call_environment& environment,
                                     const std::shared_ptr<http1_server_connection>& connection,
                                     message_head head) -> request_hooks;

} // namespace sycamorewinch
