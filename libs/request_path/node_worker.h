/** \file
 * One worker thread of a node: an event loop with its own listeners and connections.
 */
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>

#include "request_path/node_state.h"
#include "transport/cluster_key.h"

class QThread;

namespace sycamorewinch {

/** The addresses that a node listens on. */
struct node_addresses {
    peer_address callers_; ///< For HTTP/1.1 from callers.
    peer_address peers_;   ///< For HTTP/2 from other nodes.
};

/** One worker thread. */
class node_worker {
  public:
    /** Starts a thread that listens on \p addresses, which the workers of a node share; returns an
     * error if an address cannot be listened on. */
    [[nodiscard]] static auto start(node_state& node, const cluster_key& key,
                                    const node_addresses& addresses)
        -> result<std::unique_ptr<node_worker>>;
    node_worker(const node_worker&) = delete;
    auto operator=(const node_worker&) -> node_worker& = delete;
    node_worker(node_worker&&) = delete;
    auto operator=(node_worker&&) -> node_worker& = delete;
    /** Aborts all connections and ends the thread. */
    ~node_worker();

    /** Stops listening at once, and closes idle connections of callers after \p grace. Requests
     * that arrive within \p grace still get a response, and requests in flight continue. The thread
     * counts as a call in flight of the node from before this function returns until the grace
     * period has ended, callers have been sent their responses, and the peers have closed their
     * connections. */
    void begin_shutdown(std::chrono::milliseconds grace);

    /** Ends all calls in progress, and returns how many there were. Callers get the response to a
     * call whose deadline has passed, or a truncated one if it has begun; the connections of other
     * nodes are closed. The thread counts as a call in flight until the responses are sent. To be
     * called after begin_shutdown(). */
    [[nodiscard]] auto cut_calls() -> std::size_t;

    /** Returns the addresses that this worker listens on, with the actual ports. */
    [[nodiscard]] auto addresses() const -> const node_addresses& { return addresses_; }

  private:
    node_worker() = default;

    struct thread_state;
    bool is_shutting_down_ = false;
    std::unique_ptr<QThread> thread_;
    std::unique_ptr<thread_state> thread_state_;
    node_addresses addresses_;
};

} // namespace sycamorewinch
