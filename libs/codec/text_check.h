/** \file
 * Checks texts that come from outside before they are stored or sent.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace sycamorewinch {

/** Returns whether \p text is valid UTF-8, as required by cbor_writer::text(). */
[[nodiscard]] auto is_utf8(std::string_view text) -> bool;

/** Returns the problem of a name that another process chose: empty, longer than \p max_bytes, not
 * UTF-8, or with a control character; empty if there is none. */
[[nodiscard]] auto foreign_name_problem(std::string_view name, std::size_t max_bytes)
    -> std::string_view;

} // namespace sycamorewinch
