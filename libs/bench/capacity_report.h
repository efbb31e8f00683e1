/** \file
 * Generates the tables of the capacity page from a raw run.
 *
 * Each table stands between two marker lines, and everything between them is replaced:
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

/** Returns a Markdown table of all series and their fitted lines. */
[[nodiscard]] auto slopes_table(const raw_run& run) -> std::string;

/** Returns a Markdown table of \p rows with the margin of each value against its budget. */
[[nodiscard]] auto capacity_table(const std::vector<capacity_row>& rows) -> std::string;

/** Returns \p page with the table called \p name replaced by \p table; fails when the
 * markers are missing. */
[[nodiscard]] auto replace_table(const std::string& page, const std::string& name,
                                 const std::string& table) -> result<std::string>;

} // namespace sycamorewinch
