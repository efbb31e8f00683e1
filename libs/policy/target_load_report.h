/** \file
 * The load, latency and error rate of a target, as reported by the node beside it to the nodes that
 * call the target.
 *
 * The node beside the target handles all its requests, so it needs no probes to measure it. The
 * report is sent with each response and refusal, so the nodes that call the target have a recent
 * one without extra messages.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorewinch {

/** The state of one target at one point in time. */
struct target_load_report {
    /** Recent latency, in thousandths of the target latency of the request's row; 0: not known. */
    std::uint32_t relative_latency_ = 0;
    std::uint32_t in_flight_ = 0;  ///< Requests running or waiting for a slot.
    std::uint32_t slots_ = 0;      ///< Requests that the target runs concurrently.
    std::uint32_t error_rate_ = 0; ///< Recent error rate, in thousandths.
    /** The request rate that the target states it takes, in thousandths of a request per second;
     * nothing: it states no limit. */
    std::optional<std::uint32_t> rate_limit_;
    /** Time until that rate admits a further request, in milliseconds. */
    std::uint32_t rate_delay_ms_ = 0;

    [[nodiscard]] auto operator==(const target_load_report&) const -> bool = default;
};

/** Returns \p report as one line of comma-separated numbers; those of the rate limit are left out
 * if there is none. */
[[nodiscard]] auto to_text(const target_load_report& report) -> std::string;

/** Parses the text written by to_text(); returns nothing if \p text is malformed. */
[[nodiscard]] auto parse_target_load_report(std::string_view text)
    -> std::optional<target_load_report>;

} // namespace sycamorewinch
