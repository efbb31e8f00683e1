/** \file
 * One thread of a node: an event loop with its own listeners and connections.
 */
#pragma once

#include <chrono>
#include <memory>

#include "request_path/node_state.h"
#include "transport/cluster_key.h"

class QThread;

namespace sycamorewinch {

/** Where a node listens. */
struct node_addresses {
    peer_address callers_; ///< HTTP/1.1 from callers.
    peer_address peers_;   ///< HTTP/2 from other nodes.
};

/** One worker thread. */
class node_worker {
  public:
    /** Starts a thread that listens on \p addresses, shared with the other workers. */
    [[nodiscard]] static auto start(node_state& node, const cluster_key& key,
                                    const node_addresses& addresses)
        -> result<std::unique_ptr<node_worker>>;
    node_worker(const node_worker&) = delete;
    auto operator=(const node_worker&) -> node_worker& = delete;
    node_worker(node_worker&&) = delete;
    auto operator=(node_worker&&) -> node_worker& = delete;
    /** Ends the thread at once. */
    ~node_worker();

    /** Stops listening and closes idle connections after \p grace, within which requests that were
     * on their way are still answered; requests in flight go on. The node counts as busy from
     * before this returns until the grace has ended. */
    void begin_shutdown(std::chrono::milliseconds grace);

    /** Returns the addresses listened on, with their actual ports. */
    [[nodiscard]] auto addresses() const -> const node_addresses& { return addresses_; }

  private:
    node_worker() = default;

    struct loop;
    bool is_leaving_ = false;
    std::unique_ptr<QThread> thread_;
    std::unique_ptr<loop> loop_;
    node_addresses addresses_;
};

} // namespace sycamorewinch
