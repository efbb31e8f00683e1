/** \file
 * Checks of what must always hold. A broken invariant is an internal error: it stops the process
 * with the values that broke it. A user's mistake never ends here; see base/result.h.
 *
 * \code
 * invariant(next >= current, "version in force went from {} to {}", current, next);
 * \endcode
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <fmt/core.h>

namespace sycamorewinch {

namespace internal {

/** Writes \p message to standard error and aborts. */
[[noreturn]] void stop_on_broken_invariant(const std::string& message);

/** For tests of deliberately broken variants: \p handler is called first, and may throw. Set it
 * from one thread, before any other runs. */
void set_broken_invariant_handler(std::function<void(const std::string& message)> handler);

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
