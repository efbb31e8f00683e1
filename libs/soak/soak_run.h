/** \file
 * One run of the soak test: the system under load and faults, checked for violated guarantees. At
 * the end all faults are cleared and the system must recover.
 */
#pragma once

#include <string>
#include <vector>

#include "soak/guarantee_checker.h"
#include "soak/soak_system.h"

namespace sycamorewinch {

/** Parameters of a run. */
struct soak_options {
    std::uint64_t seed_ = 1;
    soak_paths paths_;
    soak_size size_;
    double calls_per_second_ = 100; ///< For each of two rows; two fifths of it to slow targets.
};

/** Result of a run. */
struct soak_result {
    std::vector<std::string> violations_; ///< Empty: every guarantee held.
    observation_counts counts_;
    std::size_t faults_ = 0;
    std::size_t processes_ = 0;
    std::vector<std::string> fault_log_; ///< The faults, one line each.
};

/** Runs one soak test; returns an error if the system does not start up. */
[[nodiscard]] auto run_soak(const soak_options& options) -> result<soak_result>;

} // namespace sycamorewinch
