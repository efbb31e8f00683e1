/** \file
 * The messages by which a node asks the holder of an organisation's quota for tokens, and their
 * CBOR encoding.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** The quota of an organisation over all nodes, as in the table. */
struct quota_limit {
    std::uint64_t rate_thousandths_ = 0; ///< Requests per second, in thousandths; 0: no limit.
    std::uint64_t burst_ = 0;            ///< Requests beyond the rate.

    [[nodiscard]] auto operator==(const quota_limit&) const -> bool = default;
};

/** A node asks for tokens of an organisation. */
struct quota_ask {
    std::string organisation_;
    std::uint64_t needed_ = 0;   ///< Requests that wait for a token.
    std::uint64_t ahead_ = 0;    ///< Further tokens, for requests expected soon.
    std::uint64_t returned_ = 0; ///< Tokens of earlier answers that expired unused.
    quota_limit limit_;          ///< For a holder whose table does not have the organisation.
    bool is_forwarded_ = false;  ///< Passed on by another node; not passed on again.

    [[nodiscard]] auto operator==(const quota_ask&) const -> bool = default;
};

/** The answer to a quota_ask. */
struct quota_grant {
    std::uint64_t tokens_ = 0;
    std::chrono::milliseconds lifetime_{0};    ///< Counted from when the node asked.
    std::chrono::milliseconds retry_after_{0}; ///< Until there is capacity, if tokens are short.

    [[nodiscard]] auto operator==(const quota_grant&) const -> bool = default;
};

/** The greatest number of bytes of an encoded message. */
constexpr std::size_t max_quota_message_bytes = 512;

[[nodiscard]] auto encode(const quota_ask& ask) -> std::string;
[[nodiscard]] auto encode(const quota_grant& grant) -> std::string;
[[nodiscard]] auto decode_quota_ask(std::string_view bytes) -> result<quota_ask>;
[[nodiscard]] auto decode_quota_grant(std::string_view bytes) -> result<quota_grant>;

} // namespace sycamorewinch
