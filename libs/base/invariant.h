/** \file
 * Checks of internal invariants. A broken invariant is a bug in this software: it aborts the
 * process with a message that holds the offending values. Invalid user input is reported as an
 * error value instead; see base/result.h.
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

/** Calls the handler, if one is set, then writes \p message to standard error and aborts. */
[[noreturn]] void stop_on_broken_invariant(const std::string& message);

/** For tests that run deliberately faulty variants: \p handler is called before the abort, and may
 * throw to avoid it. Not thread-safe: set it before other threads start. */
void set_broken_invariant_handler(std::function<void(const std::string& message)> handler);

} // namespace internal

/** Aborts the process with the formatted message unless \p holds is true. */
template <typename... Values>
void invariant(bool holds, fmt::format_string<Values...> text, Values&&... values)
{
    if (!holds) [[unlikely]] {
        internal::stop_on_broken_invariant(fmt::format(text, std::forward<Values>(values)...));
    }
}

} // namespace sycamorewinch
