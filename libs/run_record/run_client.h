/** \file
 * The node's client of the record of unrepeatable requests: requests reservations with a timeout,
 * and resends reports until they are acknowledged.
 *
 * Performs no I/O: requests, results and the time are passed in; operations for upstream are
 * returned by take_output(). A reservation that is not answered in time is reported as unreachable
 * and its attempt is never run. The client also sends a release for that attempt, so that the key
 * becomes free again if the reservation was granted after all.
 */
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/time.h"
#include "run_record/run_operation.h"

namespace sycamorewinch {

/** Called exactly once with the result of a reservation. */
using reservation_callback = std::function<void(const run_result& result)>;

/** Options of a run_client. */
struct run_client_options {
    std::string node_;
    std::uint64_t incarnation_ = 0;
    duration reservation_timeout_ = std::chrono::milliseconds(1'500); ///< For a result.
    duration resend_interval_ = std::chrono::seconds(1); ///< For unacknowledged reports.
    std::size_t max_pending_ = 4096;                     ///< Reservations and reports, each.
};

/** The client of one node. */
class run_client {
  public:
    explicit run_client(run_client_options options) : options_(std::move(options)) {}

    /** Requests a reservation. \p callback may be called before this returns. */
    void reserve(run_operation operation, reservation_callback callback, instant now);

    /** Reports how a granted attempt ended: kind release, finish or lose. */
    void end(run_operation operation, instant now);

    /** Resends unacknowledged reports; the first time, it also announces this incarnation. */
    void on_connected(instant now);
    /** Fails all pending reservations as unreachable; no result will arrive for them. */
    void on_disconnected(instant now);
    /** Completes reservations and drops acknowledged reports. */
    void on_results(const std::vector<run_result>& results, instant now);
    /** Handles timeouts and resends. Call it every few tens of milliseconds. */
    void tick(instant now);

    /** Returns and clears the operations to send upstream. */
    [[nodiscard]] auto take_output() -> std::vector<run_operation>;

    /** Returns whether a reservation or report is pending; otherwise tick() need not be called. */
    [[nodiscard]] auto has_pending() const -> bool
    {
        return !reservations_.empty() || !reports_.empty();
    }

    /** Returns how many reports are not acknowledged yet. */
    [[nodiscard]] auto unacknowledged_reports() const -> std::size_t { return reports_.size(); }

  private:
    struct pending_reservation {
        run_operation operation_;
        reservation_callback callback_;
        instant deadline_;
    };
    struct pending_report {
        run_operation operation_;
        instant resend_at_;
    };

    void announce(instant now);
    void abandon_reservation(const pending_reservation& pending, instant now);

    run_client_options options_;
    std::map<digest, pending_reservation> reservations_; ///< By attempt id.
    std::map<digest, pending_report> reports_;           ///< By attempt id.
    std::vector<run_operation> output_;
    bool connected_ = false;
    bool announced_ = false;
};

} // namespace sycamorewinch
