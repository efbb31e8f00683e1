/** \file
 * One thread's HTTP/1.1 connections to the targets beside its node, with the queues of requests
 * that wait for these targets and the reservation of their slots.
 */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "http1/http1_client_connection.h"
#include "policy/slot_reservation.h"
#include "request_path/wait_queue.h"
#include "request_path/worker_run_client.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** A pool that keeps idle connections for reuse. If an exchange is cancelled before any byte of
 * its response has arrived and its connection was silent for long (see http1_client_limits), the
 * pool also drops the connections to the same target that have been idle for at least as long: if
 * something between the node and the target has lost track of one connection, it may have lost the
 * others as well.
 */
class target_connections {
  public:
    explicit target_connections(http1_client_limits limits = {}) : limits_(limits) {}

    /** Returns an idle connection to \p address, or a new one. With \p recently_used_only, meant
     * for unrepeatable requests, a connection is reused only shortly after its last use, since one
     * that has been idle for longer may be dead. */
    [[nodiscard]] auto acquire(const peer_address& address, bool recently_used_only)
        -> std::shared_ptr<http1_client_connection>;

    /** Returns a new connection to \p address. */
    [[nodiscard]] auto dial(const peer_address& address)
        -> std::shared_ptr<http1_client_connection>;

    /** Returns a connection to the pool after an exchange. */
    void release(const peer_address& address, std::shared_ptr<http1_client_connection> connection);

    /** Returns the number of idle connections to \p address. */
    [[nodiscard]] auto idle_count(const peer_address& address) const -> std::size_t;

    /** Returns the queue of this thread's requests that wait for a slot of the target at \p
     * address. */
    [[nodiscard]] auto queue_of(const peer_address& address) -> wait_queue&
    {
        return queues_[address];
    }

    /** Returns the division of the slots of the target at \p address between this thread's long and
     * short requests. */
    [[nodiscard]] auto reservation_of(const peer_address& address)
        -> const std::shared_ptr<slot_reservation>&;

    /** Returns the guard of this thread; null: what is held for calls is not counted. */
    [[nodiscard]] auto guard() const -> resource_guard* { return limits_.guard_; }

    /** Returns this thread's access to the record of unrepeatable requests. */
    [[nodiscard]] auto run_client() -> worker_run_client& { return run_client_; }

  private:
    /** Drops the connections to \p address that have been idle for \p idle_time or longer. */
    void drop_silent(const peer_address& address, std::chrono::milliseconds idle_time);

    http1_client_limits limits_;
    worker_run_client run_client_;
    std::map<peer_address, wait_queue> queues_;
    std::map<peer_address, std::shared_ptr<slot_reservation>> reservations_;
    std::map<peer_address, std::vector<std::shared_ptr<http1_client_connection>>> idle_;
};

} // namespace sycamorewinch
