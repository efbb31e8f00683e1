/** \file
 * The open connections of one thread to the targets beside its node.
 */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "http1/http1_client_connection.h"
#include "request_path/run_gateway.h"
#include "request_path/waiting_line.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** Keeps idle connections for reuse. When an exchange on one is given up in silence, the idle
 * connections to the same target that are as old are dropped too: whatever lost track of one
 * connection may have lost the others. */
class target_connections {
  public:
    explicit target_connections(http1_client_limits limits = {}) : limits_(limits) {}

    /** Returns an idle connection to \p address, or a new one. With \p fresh_only, a connection
     * that has been idle for long is not used: it may have gone silent. */
    [[nodiscard]] auto take(const peer_address& address, bool fresh_only)
        -> std::shared_ptr<http1_client_connection>;

    /** Gives a connection back after an exchange. */
    void give_back(const peer_address& address,
                   std::shared_ptr<http1_client_connection> connection);

    /** Returns how many connections to \p address wait for reuse. */
    [[nodiscard]] auto idle_count(const peer_address& address) const -> std::size_t;

    /** Returns the line of this thread's requests that wait for the target at \p address. */
    [[nodiscard]] auto line_of(const peer_address& address) -> waiting_line&
    {
        return lines_[address];
    }

    /** Returns this thread's way to the record of unrepeatable requests. */
    [[nodiscard]] auto runs() -> run_gateway& { return runs_; }

  private:
    void drop_silent(const peer_address& address, std::chrono::milliseconds silent_for);

    http1_client_limits limits_;
    run_gateway runs_;
    std::map<peer_address, waiting_line> lines_;
    std::map<peer_address, std::vector<std::shared_ptr<http1_client_connection>>> idle_;
};

} // namespace sycamorewinch
