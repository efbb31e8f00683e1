/** \file
 * One row of the table: how the calls to one service are routed, distributed and limited.
 */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorewinch {

/** What a weight applies to. */
enum class weight_scope : std::uint8_t { target, availability_zone };

/** The relative weight of one target, or of all targets of one availability zone together. */
struct traffic_weight {
    weight_scope scope_ = weight_scope::target;
    std::string name_; ///< Of the target or zone.
    std::uint32_t weight_ = 0;

    [[nodiscard]] auto operator<=>(const traffic_weight&) const = default;
};

/** Limits on one caller's use of a service, across the whole system. Zero means no limit. */
struct caller_limit {
    std::uint32_t requests_per_second_ = 0;
    std::uint32_t burst_ = 0; ///< Requests that may exceed the rate for a moment (bucket size).
    std::uint32_t concurrency_ = 0; ///< Requests in flight at once.

    [[nodiscard]] auto operator<=>(const caller_limit&) const = default;
};

/** The limits of one named caller. */
struct named_limit {
    std::string caller_;
    caller_limit limit_;

    [[nodiscard]] auto operator<=>(const named_limit&) const = default;
};

/** The relative weight of one destination service in the split of a row. */
struct service_share {
    std::string service_;
    std::uint32_t weight_ = 0;

    [[nodiscard]] auto operator<=>(const service_share&) const = default;
};

/** One row of the table. Rows compare by content. */
struct row {
    std::string service_;     ///< Key of the row, and the destination unless split_ is set.
    std::string host_;        ///< The host that calls must match; empty matches any host.
    std::string path_prefix_; ///< The prefix that the path of a call must match.
    std::vector<service_share> split_; ///< Destination services by weight; empty: service_ alone.
    std::vector<traffic_weight> weights_; ///< Empty: all targets have equal weight.
    caller_limit default_limit_;
    std::vector<named_limit> named_limits_; ///< Callers with limits other than the default.
    std::chrono::milliseconds timeout_{0};
    std::uint32_t retries_ = 0;  ///< Attempts after the first one.
    bool repeatable_ = false;    ///< Whether requests are idempotent: running one twice is safe.
    std::uint32_t priority_ = 0; ///< 0 is the highest; served first when a target is at capacity.
    std::chrono::milliseconds target_latency_{0}; ///< Expected response time; 0: not given.
    std::vector<std::string> depends_on_; ///< Services that the targets of this service call.
    bool allow_anonymous_ = false; ///< Calls need no API key, though the table has organisations.

    [[nodiscard]] auto operator==(const row&) const -> bool = default;

    /** Returns the limits of \p caller: its own if named, otherwise the default. */
    [[nodiscard]] auto limit_of(const std::string& caller) const -> const caller_limit&;
};

} // namespace sycamorewinch
