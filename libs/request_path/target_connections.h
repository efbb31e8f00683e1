/** \file
 * The open connections of one thread to the targets beside its node.
 */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "http1/http1_client_connection.h"
#include "request_path/run_gateway.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** Keeps idle connections for reuse. */
class target_connections {
  public:
    /** Returns an idle connection to \p address, or a new one. With \p fresh_only, a connection
     * that has been idle for long is not used: it may have gone silent. */
    [[nodiscard]] auto take(const peer_address& address, bool fresh_only)
        -> std::shared_ptr<http1_client_connection>;

    /** Gives a connection back after an exchange. */
    void give_back(const peer_address& address,
                   std::shared_ptr<http1_client_connection> connection);

    /** Returns this thread's way to the record of unrepeatable requests. */
    [[nodiscard]] auto runs() -> run_gateway& { return runs_; }

  private:
    run_gateway runs_;
    std::map<peer_address, std::vector<std::shared_ptr<http1_client_connection>>> idle_;
};

} // namespace sycamorewinch
