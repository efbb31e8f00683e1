/** \file
 * Tables and targets of any size, made from a seed, for measuring.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "distribution/subscriber.h"
#include "membership/target_record.h"

namespace sycamorewinch {

/** Returns \p count rows as an operator might write them: zone weights, a limit, one named caller
 * and one dependency each. */
[[nodiscard]] auto sample_rows(std::uint64_t count) -> std::vector<row>;

/** Returns version \p number of \p rows with one cell changed, another for each number. */
[[nodiscard]] auto sample_version(std::vector<row> rows, std::uint64_t number) -> table_pointer;

/** Returns \p count targets spread over \p services services and \p zones zones. */
[[nodiscard]] auto sample_targets(std::uint64_t count, std::uint64_t services, std::uint64_t zones)
    -> std::vector<target_record>;

} // namespace sycamorewinch
