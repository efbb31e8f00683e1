/** \file
 * Keeps slots of a target free for requests that are much shorter than others.
 *
 * The load that it answers is a target whose slots are nearly all in use by long requests, and
 * which also gets short calls that running requests of other targets wait for. A long request holds
 * its slot for many times the length of a short one, so a short call mostly finds no free slot. If
 * it is refused, or starts late, the slot of the request that waits for it is wasted at the other
 * target, and with it the work that was already done.
 *
 * The slots reserved against a row are those that the target needs for the rows that are at least
 * as urgent and whose requests take at most a third of the time: the sum of the service times of
 * their recent arrivals, divided by the time in which they arrived; half of the slots at most.
 * Longer requests get the other slots. Without short requests nothing is reserved.
 *
 * \code
 * reservation->on_arrival(row, priority, service_time, now);
 * if (reservation->admits(row, slots, now)) {
 *     slot_use use(reservation, row); // until the request has ended
 * }
 * \endcode
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace sycamorewinch {

/** The slots of one target, divided between long and short requests. For one thread: the requests
 * of other threads are not counted, neither as demand nor as running. */
class slot_reservation {
  public:
    /** Records the arrival of a request of \p row that the target is expected to serve in \p
     * service_time (zero: unknown). To be called before admits(). */
    void on_arrival(const std::string& row, std::uint32_t priority, duration service_time,
                    instant now);

    /** Returns whether a request of \p row may start at a target with \p slots slots, as far as the
     * reservation is concerned; whether a slot is free must be checked separately. */
    [[nodiscard]] auto admits(const std::string& row, std::uint32_t slots, instant now) const
        -> bool;

    /** Arrivals contribute to the demand of their row for about this time. */
    static constexpr duration averaging_time = std::chrono::seconds(1);

  private:
    friend class slot_use;

    /** The requests of one row at this target. */
    struct row_demand {
        std::uint32_t priority_ = 0;
        duration service_time_{0}; ///< Zero: unknown.
        double slots_needed_ = 0;  ///< As of last_arrival_; decays exponentially.
        instant last_arrival_{};
        std::uint32_t running_ = 0;

        [[nodiscard]] auto slots_needed_at(instant now) const -> double;
    };

    void on_started(const std::string& row) { ++rows_[row].running_; }
    void on_ended(const std::string& row);
    void remove_unused_rows(instant now);

    std::map<std::string, row_demand> rows_;
};

/** Counts one request as running at the target until it is destroyed. */
class slot_use {
  public:
    slot_use() = default;
    /** Counts a request of \p row. */
    slot_use(std::shared_ptr<slot_reservation> reservation, std::string row);
    slot_use(const slot_use&) = delete;
    auto operator=(const slot_use&) -> slot_use& = delete;
    slot_use(slot_use&& other) noexcept;
    auto operator=(slot_use&& other) noexcept -> slot_use&;
    ~slot_use();

  private:
    std::shared_ptr<slot_reservation> reservation_; ///< Null: counts no request.
    std::string row_;
};

} // namespace sycamorewinch
