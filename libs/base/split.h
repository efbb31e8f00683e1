/** \file
 * Splitting of lists that are written with commas, as in settings.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sycamorewinch {

/** Returns the parts of \p text between commas; an empty text has none. */
[[nodiscard]] auto split_commas(std::string_view text) -> std::vector<std::string>;

} // namespace sycamorewinch
