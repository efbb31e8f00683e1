/** \file
 * A node's side of the record: asks for reservations, gives up in time, and sees to it that
 * outcomes arrive.
 *
 * Pure: requests, results and the time go in; operations for upstream come out. A reservation that
 * is not answered in time is reported as unreachable, and its attempt is never run: should the
 * grant come after all, the attempt is released, so that the key is free again.
 */
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/time.h"
#include "run_record/run_operation.h"

namespace sycamorewinch {

/** Hears the result of a reservation, once. */
using run_callback = std::function<void(const run_result& result)>;

/** The settings of a node's side. */
struct run_client_options {
    std::string node_;
    std::uint64_t incarnation_ = 0;
    duration patience_ = std::chrono::milliseconds(1'500); ///< Wait for a reservation.
    duration resend_after_ = std::chrono::seconds(1);      ///< Unacknowledged outcomes.
    std::size_t max_waiting_ = 4096;                       ///< Reservations, and outcomes.
};

/** One node's side. */
class run_client {
  public:
    explicit run_client(run_client_options options) : options_(std::move(options)) {}

    /** Asks whether the attempt may run. \p callback may be called before this returns. */
    void reserve(run_operation operation, run_callback callback, instant now);

    /** Reports how a granted attempt ended: release, finish or lose. */
    void end(run_operation operation, instant now);

    void on_connected(instant now);
    /** No answer will come to what was sent: the waiting reservations are unreachable. */
    void on_disconnected(instant now);
    void on_results(const std::vector<run_result>& results, instant now);
    /** Call every few tens of milliseconds. */
    void tick(instant now);

    /** Returns and clears what must be sent upstream. */
    [[nodiscard]] auto take_output() -> std::vector<run_operation>;

    /** Returns whether anything waits for an answer; without, time need not be told. */
    [[nodiscard]] auto is_waiting() const -> bool
    {
        return !reservations_.empty() || !ends_.empty();
    }

    /** Returns how many ends of attempts are not acknowledged yet. */
    [[nodiscard]] auto unacknowledged() const -> std::size_t { return ends_.size(); }

  private:
    struct waiting_reservation {
        run_operation operation_;
        run_callback callback_;
        instant give_up_;
    };
    struct waiting_end {
        run_operation operation_;
        instant resend_;
    };

    void announce(instant now);
    void abandon(const waiting_reservation& waiting, instant now);

    run_client_options options_;
    std::map<digest, waiting_reservation> reservations_; ///< By attempt.
    std::map<digest, waiting_end> ends_;                 ///< By attempt.
    std::vector<run_operation> output_;
    bool connected_ = false;
    bool announced_ = false;
};

} // namespace sycamorewinch
