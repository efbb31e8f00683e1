/** \file
 * How busy, quick and sound a target is, as the node beside it tells the nodes that call it.
 *
 * That node carries every request to its target, so it knows without asking. The status travels
 * with each answer and refusal, which keeps it fresh where it is needed and costs no message.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorewinch {

/** One target at one moment. */
struct target_load_report {
    /** How long it lately took for a request, in thousandths of what the request's row aims at; 0:
     * not known. */
    std::uint32_t relative_latency_ = 0;
    std::uint32_t in_flight_ = 0;  ///< Requests it has now, with those that wait for a slot.
    std::uint32_t slots_ = 0;      ///< Requests it runs at once.
    std::uint32_t error_rate_ = 0; ///< Lately answered with an error, in thousandths.

    [[nodiscard]] auto operator==(const target_load_report&) const -> bool = default;
};

/** Returns \p status as one short line of text. */
[[nodiscard]] auto to_text(const target_load_report& status) -> std::string;

/** Reads a status back; nothing when \p text is not one. */
[[nodiscard]] auto parse_target_load_report(std::string_view text)
    -> std::optional<target_load_report>;

} // namespace sycamorewinch
