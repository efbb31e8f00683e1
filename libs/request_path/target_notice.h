/** \file
 * What a target says about itself in the header fields of its responses: the request rate that it
 * takes, and that it is leaving.
 *
 * \code
 * sycamorewinch-target-limit: 15.3    it takes 15.3 requests per second from all nodes together
 * sycamorewinch-target-leaving: 1     it finishes its requests and takes no new ones
 * \endcode
 *
 * Both hold as of the response. A header mapping may use other names for the fields.
 */
#pragma once

#include <optional>
#include <string_view>

#include "transport/header_list.h"

namespace sycamorewinch {

/** The statements of a target in one response. */
struct target_notice {
    /** Requests per second from all nodes together, 0 or more; nothing: the rate is not limited. */
    std::optional<double> max_rate_;
    bool is_leaving_ = false;
    /** A field for the rate cannot be read. Without max_rate_, it is not known whether the rate is
     * limited. */
    bool has_malformed_rate_ = false;

    [[nodiscard]] auto operator==(const target_notice&) const -> bool = default;
};

/** A higher rate is read as this one, in requests per second. */
constexpr double max_stated_rate = 1e6;

/** Parses a rate as a decimal number without sign or exponent; nothing if \p text is malformed. */
[[nodiscard]] auto parse_max_rate(std::string_view text) -> std::optional<double>;

/** Reads the notice from \p fields, in which \p rate_field and \p leaving_field (lower case) name
 * the fields of the notice. If several fields state a rate, the lowest one applies. */
[[nodiscard]] auto read_target_notice(const header_list& fields, std::string_view rate_field,
                                      std::string_view leaving_field) -> target_notice;

} // namespace sycamorewinch
