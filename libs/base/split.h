/** \file
 * Splits comma-separated lists, as in settings.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sycamorewinch {

/** Returns the parts of \p text between commas. An empty text has no parts; parts between adjacent
 * commas are empty, and a trailing comma adds none. */
[[nodiscard]] auto split_commas(std::string_view text) -> std::vector<std::string>;

} // namespace sycamorewinch
