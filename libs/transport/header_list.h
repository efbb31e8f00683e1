/** \file
 * The header fields of one HTTP message, in order.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sycamorewinch {

/** One header field. Names are lower case. */
struct header_field {
    std::string name_;
    std::string value_;

    [[nodiscard]] auto operator==(const header_field&) const -> bool = default;
};

/** Header fields in message order. */
using header_list = std::vector<header_field>;

/** Returns the value of the first field called \p name (lower case), or an empty view. */
[[nodiscard]] auto find_header(const header_list& headers, std::string_view name)
    -> std::string_view;

/** Replaces all fields called \p name by one with \p value, at the end. */
void set_header(header_list& headers, std::string_view name, std::string_view value);

/** Removes all fields called \p name. */
void remove_header(header_list& headers, std::string_view name);

} // namespace sycamorewinch
