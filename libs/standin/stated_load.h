/** \file
 * What a stand-in target states about itself in its responses, and a check of what the system then
 * sends to it.
 *
 * \code
 * stated_load load({.max_rate_ = 8}, monotonic_now());
 * if (const auto problem = load.on_request(monotonic_now())) std::cerr << *problem;
 * for (auto& field : load.response_fields(monotonic_now())) head.headers_.push_back(field);
 * \endcode
 */
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "base/time.h"
#include "transport/header_list.h"

namespace sycamorewinch {

/** The statements of a stand-in target. */
struct stated_load_options {
    std::optional<double> max_rate_;      ///< Requests per second; nothing: states no limit.
    std::optional<duration> leave_after_; ///< From its start; nothing: it does not leave.
};

/** Checks the requests to one target against its statements. */
class stated_load {
  public:
    /** The system has this long to act on a stated rate. */
    static constexpr duration rate_grace = std::chrono::seconds(3);
    /** The system has this long to act on the notice of a target that is leaving. */
    static constexpr duration leave_grace = std::chrono::seconds(2);
    /** Requests are counted over this time. */
    static constexpr duration window = std::chrono::seconds(4);
    /** Within a window, half as much again as the rate gives and this many are allowed. */
    static constexpr double rate_tolerance = 1.5;
    static constexpr double request_tolerance = 5;
    /** After a longer time without on_tick() the target itself was suspended, and the requests of
     * that time have arrived together. */
    static constexpr duration max_tick_gap = std::chrono::milliseconds(500);

    stated_load(stated_load_options options, instant started)
        : options_(options), started_(started), last_tick_(started)
    {
    }

    /** Returns the header fields of a response at \p now. */
    [[nodiscard]] auto response_fields(instant now) -> header_list;

    /** Records a request; returns a description if the target should not have got it. */
    [[nodiscard]] auto on_request(instant now) -> std::optional<std::string>;

    /** To be called more often than max_tick_gap. */
    void on_tick(instant now);

  private:
    stated_load_options options_;
    instant started_;
    instant last_tick_;
    std::optional<instant> rate_stated_;  ///< When a response first stated the rate.
    std::optional<instant> leave_stated_; ///< When a response first said that it is leaving.
    std::deque<instant> requests_;        ///< Within the last window.
};

} // namespace sycamorewinch
