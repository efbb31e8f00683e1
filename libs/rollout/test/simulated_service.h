/** \file
 * Test support: the roll-out of one service under virtual time, with callers, two versions, reports
 * from nodes and a control group whose leader may change.
 */
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "rollout/rollout_planner.h"

namespace sycamorewinch::testing {

/** How the targets of one version behave. */
struct version_behaviour {
    double failure_proportion_ = 0;
    double slowness_ = 1;            ///< Factor of the usual latency.
    std::int64_t changes_at_ms_ = 0; ///< Before this time after the order the version is good.
    int bad_row_ = -1;               ///< Only this row is bad; -1: all.
    double bad_from_load_ = 0;       ///< Bad only from this load per target; 1: that of an old one.
    bool is_bad_ = false;            ///< Whether the version must be rolled back.
    std::int64_t cold_until_ms_ = 0; ///< Until then twice as slow, and not counted as slow.
    double baseline_failures_ = 0;   ///< Proportion that fails whatever the load, time and row.
};

/** One load to play. */
struct simulated_load {
    int requests_per_s_ = 400;
    std::int64_t duration_ms_ = 16'000;
    int targets_ = 50; ///< Of each version.
    version_behaviour old_;
    version_behaviour new_;
    std::int64_t new_targets_from_ms_ = 0; ///< Start of the new targets, after the order.
    std::int64_t reports_until_ms_ = 1'000'000;
    std::vector<std::int64_t> leader_changes_ms_; ///< Times after the order.
    std::int64_t stuck_old_request_until_ms_ = 0; ///< An old target runs a request until then.
    std::uint64_t seed_ = 1;
};

/** What happened. */
struct simulated_result {
    rollout_state state_ = rollout_state::running;
    std::int64_t ended_at_ms_ = -1;
    std::int64_t old_in_flight_at_end_ = 0;
    std::int64_t requests_ = 0;        ///< Between the order and the deadline.
    std::int64_t requests_to_new_ = 0; ///< Of these, to the new version.
    std::int64_t fiftieth_bad_at_ms_ = -1;
    std::int64_t last_to_new_at_ms_ = -1;
    std::vector<std::uint32_t> shares_; ///< In the order in which they were committed.
    std::string reason_;
};

/** Plays \p load until 5 s after its deadline. */
[[nodiscard]] auto simulate(const simulated_load& load) -> simulated_result;

} // namespace sycamorewinch::testing
