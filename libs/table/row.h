/** \file
 * One row of the operators' table: how the calls to one service are shared and limited.
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

/** The share of one target, or of all the targets of one zone, relative to the others. */
struct traffic_weight {
    weight_scope scope_ = weight_scope::target;
    std::string name_;
    std::uint32_t weight_ = 0;

    [[nodiscard]] auto operator<=>(const traffic_weight&) const = default;
};

/** How far one caller may push a service, over the whole system. Zero means no limit. */
struct caller_limit {
    std::uint32_t requests_per_second_ = 0;
    std::uint32_t burst_ = 0;       ///< Requests admitted at once above the rate.
    std::uint32_t concurrency_ = 0; ///< Requests in flight at once.

    [[nodiscard]] auto operator<=>(const caller_limit&) const = default;
};

/** The limit of one caller by name. */
struct named_limit {
    std::string caller_;
    caller_limit limit_;

    [[nodiscard]] auto operator<=>(const named_limit&) const = default;
};

/** One service's part of a row's calls, relative to the other parts. */
struct service_share {
    std::string service_;
    std::uint32_t weight_ = 0;

    [[nodiscard]] auto operator<=>(const service_share&) const = default;
};

/** One row: how calls are routed, shared and limited. Rows compare by content. */
struct row {
    std::string service_;     ///< Names the row; its calls go to this service unless split_ is set.
    std::string host_;        ///< Calls for this host belong here; empty: for any host.
    std::string path_prefix_; ///< Calls whose path starts with it belong here.
    std::vector<service_share> split_;    ///< The services that the calls go to, by weight.
    std::vector<traffic_weight> weights_; ///< Empty: every target alike.
    caller_limit default_limit_;
    std::vector<named_limit> named_limits_; ///< Callers that differ from the default.
    std::chrono::milliseconds timeout_{0};
    std::uint32_t retries_ = 0;  ///< Further tries after the first.
    bool repeatable_ = false;    ///< Whether running a request twice does no harm.
    std::uint32_t priority_ = 0; ///< 0 is served first when a target is short of room.
    std::chrono::milliseconds target_latency_{0}; ///< An answer is expected within it; 0: unstated.
    std::vector<std::string> depends_on_;         ///< Services its targets call.

    [[nodiscard]] auto operator==(const row&) const -> bool = default;

    /** Returns the limit of \p caller: its own, or else the default. */
    [[nodiscard]] auto limit_of(const std::string& caller) const -> const caller_limit&;
};

} // namespace sycamorewinch
