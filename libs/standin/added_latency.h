/** \file
 * Measures the latency that a node adds to a call: calls a target directly and through a node,
 * alternating in one run, so that both see the same load on the machine. For tests and benchmarks
 * only.
 *
 * \code
 * const auto measured = measure_added_latency({direct, through, "/x", 2'000, 165});
 * report(measured.through_.at(0.99) - measured.direct_.at(0.99));
 * \endcode
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "transport/peer_connection.h"

namespace sycamorewinch {

/** Parameters of a measurement. */
struct latency_plan {
    peer_address direct_;  ///< The target itself.
    peer_address through_; ///< The caller address of a node that routes path_ to the target.
    std::string path_ = "/";
    std::uint64_t calls_ = 1'000; ///< On each of the two paths.
    double per_second_ = 0;       ///< Rate of calls on each path; 0: back to back.
};

/** Latencies of one path, in seconds. */
struct latency_sample {
    std::vector<double> seconds_;
    std::uint64_t failed_ = 0; ///< Calls without a response of status 200; not in seconds_.

    /** Returns the quantile \p fraction (0 to 1), in seconds. */
    [[nodiscard]] auto at(double fraction) const -> double;
};

/** Result of one run. */
struct added_latency {
    latency_sample direct_;
    latency_sample through_;
};

/** Runs the measurement in this thread's event loop, with one connection per path, and returns when
 * it is complete. */
[[nodiscard]] auto measure_added_latency(const latency_plan& plan) -> added_latency;

} // namespace sycamorewinch
