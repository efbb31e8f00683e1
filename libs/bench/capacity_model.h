/** \file
 * Computes the resource use of each role at the two-year target size, from the lines fitted to a
 * raw run.
 */
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "bench/series.h"

namespace sycamorewinch {

/** The deployment size and load that the users require in two years. */
struct capacity_target {
    double nodes_ = 20'000;
    double services_ = 3'800;
    double zones_ = 7;
    double calls_per_second_ = 3.3e6;
    double changes_per_day_ = 43'000;
    double restarts_per_day_ = 1'220; ///< Nodes: 1,200 restarted or replaced and 20 failed.
    double control_vms_ = 5;
    double relays_per_zone_ = 7; ///< 49 in total; 59 VMs with 5 control VMs and 5 spares.
};

/** One computed value of the capacity page. */
struct capacity_row {
    std::string role_;
    std::string quantity_;
    double value_ = 0;
    double budget_ = 0; ///< 0 if the users state no budget.
    std::string unit_;
    std::string sources_;       ///< Names of the series it is computed from.
    bool extrapolated_ = false; ///< Whether a size beyond the measured ones was used.
};

/** Returns every value of the page; the error names a series that \p run lacks. */
[[nodiscard]] auto compute_capacity(const raw_run& run, const capacity_target& target)
    -> result<std::vector<capacity_row>>;

} // namespace sycamorewinch
