/** \file
 * Generates deterministic tables and target records of any size for the benchmarks.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "distribution/subscriber.h"
#include "membership/target_record.h"

namespace sycamorewinch {

/** Returns \p count typical rows: each has zone weights, a default limit, the limit of one named
 * caller and, except the first, one dependency. */
[[nodiscard]] auto sample_rows(std::uint64_t count) -> std::vector<row>;

/** Returns \p rows as version \p number with one cell changed, in a row chosen by that number. */
[[nodiscard]] auto sample_version(std::vector<row> rows, std::uint64_t number) -> table_pointer;

/** Returns \p count targets spread over \p services services and \p zones zones. */
[[nodiscard]] auto sample_targets(std::uint64_t count, std::uint64_t services, std::uint64_t zones)
    -> std::vector<target_record>;

} // namespace sycamorewinch
