/** \file
 * Checks of what must always hold. A broken invariant is an internal error: it stops the process
 * with the values that broke it. A user's mistake never ends here; see base/result.h.
 *
 * \code
 * invariant(next >= current, "version in force went from {} to {}", current, next);
 * \endcode
 */
#pragma once

#include <string>
#include <string_view>

#include <fmt/core.h>

namespace sycamorewinch {

namespace internal {

/** Writes \p message to standard error and aborts. */
[[noreturn]] void stop_on_broken_invariant(const std::string& message);

} // namespace internal

/** Stops the process with the formatted message unless \p holds. */
template <typename... Values>
void invariant(bool holds, fmt::format_string<Values...> text, Values&&... values)
{
    if (!holds) [[unlikely]] {
        internal::stop_on_broken_invariant(fmt::format(text, std::forward<Values>(values)...));
    }
}

} // namespace sycamorewinch
