/** \file
 * Works out what each role spends at the two-year target, from the slopes of a raw run.
 */
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "bench/series.h"

namespace sycamorewinch {

/** The size that the users stated as their target. */
struct capacity_target {
    double nodes_ = 20'000;
    double services_ = 3'800;
    double zones_ = 7;
    double calls_per_second_ = 3.3e6;
    double changes_per_day_ = 43'000;
    double restarts_per_day_ = 1'220; ///< 1,200 restarted or replaced and 20 failed.
    double control_vms_ = 5;
    double relays_per_zone_ = 7; ///< 49 in all; with 5 control VMs and 5 spare ones 59.
};

/** One figure of the capacity page. */
struct capacity_row {
    std::string role_;
    std::string quantity_;
    double value_ = 0;
    double budget_ = 0; ///< 0: the users state none.
    std::string unit_;
    std::string sources_;       ///< The series it comes from.
    bool extrapolated_ = false; ///< Whether it lies beyond the sizes measured.
};

/** Returns every figure of the page; the error names a series that the run lacks. */
[[nodiscard]] auto work_out_capacity(const raw_run& run, const capacity_target& target)
    -> result<std::vector<capacity_row>>;

} // namespace sycamorewinch
