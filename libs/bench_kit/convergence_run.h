/** \file
 * Measures distribution under virtual time: how soon each change is enforced everywhere, and what
 * that costs in bytes. The publishers and subscribers are the real ones; the network between them
 * is a delay, and a lost message arrives when TCP has sent it again.
 *
 * Deterministic: the same options give the same figures.
 *
 * \code
 * const auto figures = measure_convergence({.zones_ = 3, .nodes_per_zone_ = 4});
 * fmt::print("{} ms\n", to_milliseconds(figures.p99_));
 * \endcode
 */
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** How changes reach the nodes. */
enum class spreading : std::uint8_t {
    steps,       ///< What the product does: the rows that changed.
    whole_table, ///< A baseline: the whole table to everybody at each change.
    polling      ///< A baseline: each node asks every second and gets the whole table if it is new.
};

/** How a relay tells what its nodes enforce. */
enum class acknowledging : std::uint8_t {
    folded, ///< What the product does: one lower bound for each zone, at most every 50 ms.
    plain   ///< A baseline: each node's acknowledgement is passed on as it comes.
};

/** One run: a control process and a relay in each zone, and nodes below the relay. */
struct convergence_options {
    std::size_t zones_ = 3;
    std::size_t nodes_per_zone_ = 4;
    std::size_t services_ = 4;
    duration between_zones_ = std::chrono::milliseconds(4); ///< One way.
    duration within_zone_ = std::chrono::microseconds(250); ///< One way.
    double loss_ = 0;                                       ///< Share of messages lost once.
    std::size_t changes_ = 200;
    duration change_period_ = std::chrono::seconds(2); ///< On average.
    bool all_restart_ = false; ///< Before the changes, all nodes below one relay restart at once.
    spreading spreading_ = spreading::steps;
    acknowledging acknowledging_ = acknowledging::folded;
    std::uint64_t seed_ = 1;
};

/** What was measured. Bytes include framing and TCP/IP headers, without TCP's own answers. */
struct convergence_figures {
    duration p50_{0}; ///< From acceptance to enforcement, over all nodes and changes.
    duration p99_{0};
    duration max_{0};
    duration known_p50_{
        0}; ///< From acceptance until the leader's publisher knows that all enforce it.
    duration known_max_{0};
    double bytes_per_change_ = 0;        ///< To and from one node, above the idle bytes.
    double upward_per_change_ = 0;       ///< From one relay to its control process, above idle.
    double idle_bytes_per_second_ = 0;   ///< To and from one node.
    double bytes_per_second_ = 0;        ///< To and from one node while changes come.
    duration restart_time_{0};           ///< Until all the restarted nodes enforced a table again.
    std::size_t restart_peak_bytes_ = 0; ///< The most that was on its way below one relay.
};

/** Runs and measures. */
[[nodiscard]] auto measure_convergence(const convergence_options& options) -> convergence_figures;

} // namespace sycamorewinch
