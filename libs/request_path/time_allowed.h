/** \file
 * Reads the time that a caller allows for its call from a header field in milliseconds.
 */
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace sycamorewinch {

/** The longest time that is taken from a header field; a longer one counts as this. */
constexpr std::chrono::hours max_time_allowed{24};

/** Returns the time that \p field states, between 0 and max_time_allowed; nothing if the field is
 * empty or not a whole number. A negative time counts as 0: the caller's deadline has passed. */
[[nodiscard]] auto parse_time_allowed(std::string_view field)
    -> std::optional<std::chrono::milliseconds>;

} // namespace sycamorewinch
