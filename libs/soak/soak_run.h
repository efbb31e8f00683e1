/** \file
 * One run of the soak: the system under load and faults, watched for broken promises, then healed
 * and given time to recover.
 */
#pragma once

#include <string>
#include <vector>

#include "soak/promise_book.h"
#include "soak/soak_system.h"

namespace sycamorewinch {

/** What a run is made of. */
struct soak_options {
    std::uint64_t seed_ = 1;
    soak_place place_;
    soak_size size_;
    double calls_per_second_ = 100; ///< Of each of the two rows.
};

/** What came of it. */
struct soak_outcome {
    std::vector<std::string> broken_; ///< Empty: every promise was kept.
    promise_counts counts_;
    std::size_t faults_ = 0;
    std::size_t processes_ = 0;
    std::vector<std::string> account_; ///< The faults, a line each.
};

/** Plays one run; returns an error when the system does not come up at all. */
[[nodiscard]] auto run_soak(const soak_options& options) -> result<soak_outcome>;

} // namespace sycamorewinch
