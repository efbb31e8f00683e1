/** \file
 * The queue of one thread's requests that wait for a free slot of one target, or until the request
 * rate that the target has stated admits them.
 *
 * The load that it answers is a target whose slots are all in use, or whose rate is used up, for
 * moments or for seconds, by rows of unequal length. Requests are started in the order of their
 * priority. Among equal priorities, much shorter requests go first: a short call that another
 * target waits for goes before a long request, which holds a slot for many times as long. Among
 * requests of similar length, those that can still meet the target latency of their row go first,
 * and among these the one that must start the earliest to do so, so that a caller that returns
 * after a refusal goes before a new one. The wait of a new request is estimated from the service
 * times of the requests ahead of it. A request whose estimated wait exceeds its limit should be
 * refused at once, so that it can be tried at another target while there is time.
 *
 * \code
 * const auto rank = make_queue_rank(priority, latency_budget, service_time, now);
 * if (queue.expected_wait(rank, slots) < wait_limit) {
 *     position = queue.enqueue(rank, service_time, try_to_start);
 * }
 * ...
 * queue.start_waiting(); // after each request of this thread that has ended
 * \endcode
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/time.h"

namespace sycamorewinch {

/** The order of waiting requests; the lowest rank goes first. */
struct queue_rank {
    std::uint32_t priority_ = 0;
    /** The number of binary digits of the service time in microseconds. */
    std::uint32_t length_class_ = 0;
    /** The response will exceed the row's target latency even without a wait. */
    bool is_late_ = false;
    /** Until when the request must start to meet the target latency; the same for all late ones. */
    instant latest_start_{};

    [[nodiscard]] auto operator<=>(const queue_rank&) const = default;
};

/** Returns the rank of a request that has \p latency_budget left at \p now and that the target
 * serves in \p service_time. */
[[nodiscard]] auto make_queue_rank(std::uint32_t priority, duration latency_budget,
                                   duration service_time, instant now) -> queue_rank;

/** The position of a request in a queue, which also identifies it there. */
struct queue_position {
    queue_rank rank_;
    std::uint64_t arrival_ = 0;

    [[nodiscard]] auto operator<=>(const queue_position&) const = default;
};

/** Returns how long a request may wait for a slot of a target with \p service_time if \p
 * latency_budget is left until its row's target latency is exceeded. Unless this target is the last
 * choice, the request may use only a part of that time: the estimates are averages. */
[[nodiscard]] auto max_wait(duration latency_budget, duration service_time, bool is_last_choice)
    -> duration;

/** Returns how long a request with \p time_left until its deadline may wait if the target serves it
 * in \p service_time and a refusal takes \p refusal_delay to reach the node of its caller. A
 * request that starts later is not answered in time, and one that is refused later is reported to
 * its caller with an unknown outcome. */
[[nodiscard]] auto max_wait_before_deadline(duration time_left, duration service_time,
                                            duration refusal_delay) -> duration;

/** The queue of one target. For one thread. */
class wait_queue {
  public:
    /** Tries to start a request; returns whether it has left the queue, started or refused. */
    using start_hook = std::function<bool()>;

    /** Returns the estimated wait of a new request with \p rank at a target with \p slots slots. */
    [[nodiscard]] auto expected_wait(const queue_rank& rank, std::uint32_t slots) const -> duration;

    /** Returns how many waiting requests go before a new one with \p rank. */
    [[nodiscard]] auto requests_ahead(const queue_rank& rank) const -> std::size_t;

    /** Adds a request that the target is expected to serve in \p service_time; \p start is called
     * when it is first in the queue and may be admitted. */
    [[nodiscard]] auto enqueue(const queue_rank& rank, duration service_time, start_hook start)
        -> queue_position;
    /** Removes a request that no longer waits. */
    void remove(const queue_position& position) { waiting_.erase(position); }

    /** To be called when a request may be admitted: starts requests from the front of the queue
     * until one cannot be started. */
    void start_waiting();

    /** Records how long the target took for one request of the row named \p row. */
    void record_service_time(const std::string& row, duration elapsed);
    /** Returns the recent service time of the target for the row named \p row; zero: unknown. */
    [[nodiscard]] auto service_time(const std::string& row) const -> duration;

    /** Returns the number of waiting requests. */
    [[nodiscard]] auto size() const -> std::size_t { return waiting_.size(); }

  private:
    struct waiting_request {
        duration service_time_{0};
        start_hook start_;
    };

    std::map<queue_position, waiting_request> waiting_;
    std::uint64_t next_arrival_ = 1;
    duration service_time_{0}; ///< Moving average over the requests of all rows.
    std::map<std::string, duration> row_service_times_; ///< Moving averages by row name.
    bool is_starting_ = false;                          ///< start_waiting() is running.
};

} // namespace sycamorewinch
