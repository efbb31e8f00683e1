/** \file
 * Writes the generated tables of the capacity page from a raw run.
 *
 * A table stands between two marker lines and is replaced whole:
 *
 * \code
 * <!-- generated: slopes -->
 * ...
 * <!-- end generated -->
 * \endcode
 */
#pragma once

#include <string>
#include <vector>

#include "bench/capacity_model.h"

namespace sycamorewinch {

/** Returns the table of every fitted line. */
[[nodiscard]] auto slopes_table(const raw_run& run) -> std::string;

/** Returns the table of every figure at the target, with its margin against the budget. */
[[nodiscard]] auto capacity_table(const std::vector<capacity_row>& rows) -> std::string;

/** Returns \p page with the table called \p name replaced by \p table; the error says that the
 * markers are missing. */
[[nodiscard]] auto replace_table(const std::string& page, const std::string& name,
                                 const std::string& table) -> result<std::string>;

} // namespace sycamorewinch
