/** \file
 * What a node adds to a call: calls to a target directly and through a node, taken in turn in one
 * run, so that both meet the same load of the machine. For tests and the bench alone.
 *
 * \code
 * const auto seen = measure_added_latency({direct, through, "/x", 2'000, 165});
 * report(seen.through_.at(0.99) - seen.direct_.at(0.99));
 * \endcode
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "transport/peer_connection.h"

namespace sycamorewinch {

/** What is measured. */
struct latency_plan {
    peer_address direct_;  ///< The target itself.
    peer_address through_; ///< The callers' side of a node that routes path_ to it.
    std::string path_ = "/";
    std::uint64_t calls_ = 1'000; ///< On each of the two ways.
    double per_second_ = 0;       ///< Calls through the node; 0: one after the other.
};

/** Latencies of one way, in seconds. */
struct latency_sample {
    std::vector<double> seconds_;
    std::uint64_t failed_ = 0; ///< Calls without an answer 200; they have no latency.

    /** Returns the quantile \p fraction. */
    [[nodiscard]] auto at(double fraction) const -> double;
};

/** Both ways of one run. */
struct added_latency {
    latency_sample direct_;
    latency_sample through_;
};

/** Measures in the event loop of this thread, on one connection a way, and returns at the end. */
[[nodiscard]] auto measure_added_latency(const latency_plan& plan) -> added_latency;

} // namespace sycamorewinch
