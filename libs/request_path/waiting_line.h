/** \file
 * The requests of one thread that wait for a free slot of one target.
 *
 * The most urgent goes first; of equally urgent ones those whose answers may still be in time, and
 * of these the earliest. How long a newcomer would
 * wait is estimated from the requests before it and the time that the target lately took for one;
 * whoever would wait longer than its patience is refused at once, so that it may be tried elsewhere
 * while there is time.
 *
 * \code
 * if (line.expected_wait(rank, slots) < patience) place = line.join(rank, try_to_start);
 * ...
 * line.on_slot_free(); // after each request of this thread that ended
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

/** What decides who goes first; the lower one does. */
struct line_rank {
    std::uint32_t priority_ = 0;
    bool is_late_ = false; ///< Its answer will be late anyway.

    [[nodiscard]] auto operator<=>(const line_rank&) const = default;
};

/** Where a request stands in a line. */
struct line_place {
    line_rank rank_;
    std::uint64_t arrival_ = 0;

    [[nodiscard]] auto operator<=>(const line_place&) const = default;
};

/** Returns how long a request whose answer is in time for \p time_in_aim may wait for a slot of a
 * target that takes \p service_time. Where there is a choice, it may not use up the whole of it:
 * the estimates are averages. */
[[nodiscard]] auto longest_wait(duration time_in_aim, duration service_time, bool is_last_choice)
    -> duration;

/** One line. For one thread. */
class waiting_line {
  public:
    /** Tries to start a request; returns whether it left the line: it was started or given up. */
    using start_hook = std::function<bool()>;

    /** Returns the estimated wait of a newcomer with \p rank at a target of \p slots slots. */
    [[nodiscard]] auto expected_wait(const line_rank& rank, std::uint32_t slots) const -> duration;

    /** Adds a request. */
    [[nodiscard]] auto join(const line_rank& rank, start_hook start) -> line_place;
    /** Removes a request that is no longer waited for. */
    void leave(const line_place& place) { waiting_.erase(place); }

    /** A slot may be free: starts those in front until one cannot be started. */
    void on_slot_free();

    /** Notes how long the target took for one request of the row called \p row. */
    void note_service_time(const std::string& row, duration taken);
    /** Returns how long the target lately took for a request of that row; zero: not known. */
    [[nodiscard]] auto service_time(const std::string& row) const -> duration;

    [[nodiscard]] auto size() const -> std::size_t { return waiting_.size(); }

  private:
    std::map<line_place, start_hook> waiting_;
    std::uint64_t next_arrival_ = 1;
    duration service_time_{0};                      ///< Moving average over all requests.
    std::map<std::string, duration> service_times_; ///< The same by row.
    bool is_serving_ = false;
};

} // namespace sycamorewinch
