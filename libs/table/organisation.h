/** \file
 * An organisation in the table: whose API keys callers present, and how much it may use.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"

namespace sycamorewinch {

/** One organisation. Its API keys are kept as digests only, so that no table, message or log
 * contains a key. */
struct organisation {
    std::string name_;
    std::vector<digest> keys_; ///< Digests of its API keys, sorted.
    /** Requests per second over all nodes, in thousandths; 0: no limit. */
    std::uint64_t rate_thousandths_ = 0;
    std::uint64_t burst_ = 0;               ///< Requests beyond the rate; without a rate unused.
    std::optional<std::uint32_t> priority_; ///< Replaces the priority of the rows.

    [[nodiscard]] auto operator==(const organisation&) const -> bool = default;
};

/** Returns the digest by which \p api_key is stored and looked up: the first half of its SHA-256,
 * so that the key cannot be computed from it. */
[[nodiscard]] auto digest_of_api_key(std::string_view api_key) -> digest;

} // namespace sycamorewinch
