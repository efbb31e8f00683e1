/** \file
 * The value that every fallible function of the workspace returns: a result or a typed error.
 *
 * Errors are values. Only a broken invariant (see base/invariant.h) stops the process.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace sycamorewinch {

/** What went wrong, in classes that a caller may react to differently. */
enum class error_kind : std::uint8_t {
    invalid_input, ///< The user's own object is wrong; the message names it and what to do.
    not_found,     ///< The named object does not exist.
    conflict,      ///< Another change came first.
    unavailable,   ///< The work cannot be done now; a retry may succeed.
    unauthorized,  ///< The peer or the operator did not prove who it is.
    too_large,     ///< A size limit was passed.
    corrupt,       ///< Stored or received bytes are damaged.
    io,            ///< The operating system refused.
};

/** Returns the name of \p kind as it appears in logs and answers. */
[[nodiscard]] auto name_of(error_kind kind) -> std::string_view;

/** A typed error with a message that a person can act on. */
struct error {
    error_kind kind_ = error_kind::invalid_input;
    std::string message_;
};

/** Either a \p T or an error. */
template <typename T>
using result = tl::expected<T, error>;

/** Builds the failing side of any result: `return failure(error_kind::io, "cannot open x");`. */
[[nodiscard]] inline auto failure(error_kind kind, std::string message) -> tl::unexpected<error>
{
    return tl::unexpected<error>(error{kind, std::move(message)});
}

} // namespace sycamorewinch
