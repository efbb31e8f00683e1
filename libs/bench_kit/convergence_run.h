/** \file
 * Simulates table distribution in virtual time and measures how soon all nodes enforce each change,
 * and the network traffic this takes. Uses the production publishers and subscribers; the network
 * is modelled as a delay and a data rate, and a lost message arrives after TCP's retransmission.
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

/** How table changes are sent to the nodes. */
enum class distribution_mode : std::uint8_t {
    row_changes, ///< As in production: only the changed rows.
    whole_table, ///< Baseline: the whole table to every node at each change.
    polling      ///< Baseline: each node polls every second and gets the whole table if it changed.
};

/** How a relay reports which version its nodes enforce. */
enum class acknowledgement_mode : std::uint8_t {
    aggregated, ///< As in production: the lowest version of each zone, at most every 50 ms.
    individual  ///< Baseline: each node's acknowledgement is forwarded at once.
};

/** Options of one run. Each zone has one control process, one relay and the nodes of that relay. */
struct convergence_options {
    std::size_t zones_ = 3;
    std::size_t nodes_per_zone_ = 4;
    std::size_t services_ = 4;
    duration between_zones_ = std::chrono::milliseconds(4); ///< One way.
    duration within_zone_ = std::chrono::microseconds(250); ///< One way.
    double loss_rate_ = 0; ///< Fraction of messages that are lost once.
    std::size_t changes_ = 200;
    duration change_period_ = std::chrono::seconds(2); ///< On average.
    bool restart_before_changes_ = false;              ///< All nodes of one relay at once.
    distribution_mode distribution_mode_ = distribution_mode::row_changes;
    acknowledgement_mode acknowledgement_mode_ = acknowledgement_mode::aggregated;
    std::uint64_t seed_ = 1;
};

/** Results. Byte counts include framing and TCP/IP headers, but not TCP's acknowledgements. */
struct convergence_figures {
    duration p50_{0}; ///< From acceptance to enforcement, over all nodes and changes.
    duration p99_{0};
    duration max_{0};
    duration known_p50_{0}; ///< From acceptance until the leader knows that all nodes enforce it.
    duration known_max_{0};
    double bytes_per_change_ = 0;        ///< To and from one node, without the idle traffic.
    double upward_bytes_per_change_ = 0; ///< From one relay to control, without idle traffic.
    double idle_bytes_per_second_ = 0;   ///< To and from one node.
    double bytes_per_second_ = 0;        ///< To and from one node while changes are made.
    duration restart_time_{0};           ///< Until all restarted nodes enforce a table again.
    std::size_t restart_peak_bytes_ = 0; ///< Maximum of the bytes in flight below one relay.
};

/** Runs the simulation and returns its results. */
[[nodiscard]] auto measure_convergence(const convergence_options& options) -> convergence_figures;

} // namespace sycamorewinch
