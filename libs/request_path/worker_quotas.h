/** \file
 * The quotas of organisations on one worker thread of a node: decides whether requests are within
 * them, and answers the nodes that ask this one for tokens.
 */
#pragma once

#include <memory>
#include <string>

#include "quota/quota_client.h"
#include "quota/quota_service.h"
#include "request_path/node_state.h"
#include "request_path/peer_exchange.h"
#include "request_path/quota_exchange.h"
#include "table/organisation.h"

namespace sycamorewinch {

/** Connects the decisions of libs/quota with the node's table, its peers and its buckets. */
class worker_quotas {
  public:
    /** \p node and \p peers must outlive the object. */
    worker_quotas(node_state& node, peer_connections& peers);

    /** Decides on a request of \p organisation. Calls \p reply once, at once or later; in the first
     * case returns 0. */
    auto admit(const organisation& organisation, quota_reply_hook reply) -> quota_wait_id;
    /** Withdraws a request of \p organisation that waits; its reply is not called. */
    void cancel(const std::string& organisation, quota_wait_id wait);

    /** Answers \p ask of another node: calls \p reply once, at once or later. */
    void answer(const quota_ask& ask, quota_answer_hook reply);

  private:
    void send(const std::string& address, const quota_ask& ask, std::chrono::milliseconds timeout,
              grant_hook answer);
    /** Grants tokens of this node's bucket, by the quota in its own table if that has the
     * organisation. */
    auto grant(const quota_ask& ask, holder_role role, instant now) -> quota_grant;
    auto make_service_hooks() -> quota_service_hooks;
    auto make_client_hooks() -> quota_client_hooks;

    node_state& node_;
    peer_connections& peers_;
    holder_reachability reachability_;
    quota_service service_;
    quota_client client_;
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(); ///< Expires with this object.
};

} // namespace sycamorewinch
