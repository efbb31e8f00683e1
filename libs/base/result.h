/** \file
 * The return type of every fallible function of the project: a value or a typed error.
 *
 * Errors are returned as values. Only a broken invariant (see base/invariant.h) aborts the process.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace sycamorewinch {

/** Classes of errors that calling code may handle differently. */
enum class error_kind : std::uint8_t {
    invalid_input, ///< The user's input is invalid; the message names it and the remedy.
    not_found,     ///< The named object does not exist.
    conflict,      ///< Another change was made first.
    unavailable,   ///< The operation is not possible now; a retry may succeed.
    unauthorized,  ///< The peer or the operator failed to authenticate.
    too_large,     ///< A size limit was exceeded.
    corrupt,       ///< Stored or received data are damaged.
    io,            ///< An operating system call failed.
    unsupported,   ///< The input names something that this version does not know.
};

/** Returns the name of \p kind as it appears in logs and responses. */
[[nodiscard]] auto name_of(error_kind kind) -> std::string_view;

/** A typed error with an actionable message for the user or operator. */
struct error {
    error_kind kind_ = error_kind::invalid_input;
    std::string message_;
};

/** A \p T or an error. */
template <typename T>
using result = tl::expected<T, error>;

/** Returns an error for any `result`: `return failure(error_kind::io, "cannot open x");`. */
[[nodiscard]] inline auto failure(error_kind kind, std::string message) -> tl::unexpected<error>
{
    return tl::unexpected<error>(error{kind, std::move(message)});
}

} // namespace sycamorewinch
