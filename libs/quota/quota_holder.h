/** \file
 * The quotas that this node grants tokens of, as their holder or in place of it.
 */
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "base/enum_names.h"
#include "quota/quota_message.h"
#include "quota/token_bucket.h"

namespace sycamorewinch {

/** How long after a node asked its tokens expire. */
constexpr std::chrono::milliseconds lease_lifetime{1'000};

/** In which role a node grants tokens. */
enum class holder_role : std::uint8_t {
    holder,
    substitute, ///< In place of a holder that this node does not reach.
};

constexpr enum_names<holder_role, 2> holder_role_names{{"holder", "substitute"}};

/** Returns the capacity of the bucket of an organisation with \p limit. */
[[nodiscard]] auto bucket_capacity(const quota_limit& limit) -> double;

/** The token buckets of the organisations. A bucket is created empty by the first request for its
 * tokens. Not thread-safe. */
class quota_holder {
  public:
    /** Answers \p ask with tokens of its organisation, which has \p limit. */
    auto grant(const quota_ask& ask, const quota_limit& limit, holder_role role, instant now)
        -> quota_grant;

    /** Drops the bucket that this node has as substitute, since the holder grants again. */
    void end_substitution(const std::string& organisation);

    /** Drops the bucket of every organisation that this node was the holder of and no longer is,
     * so that it begins empty if it becomes the holder again. To be called after each change of
     * the nodes. */
    void on_nodes_changed(const std::function<bool(const std::string& organisation)>& is_holder);

    /** Drops all buckets. */
    void clear() { buckets_.clear(); }

    /** Returns the number of buckets. */
    [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

  private:
    struct entry {
        token_bucket bucket_;
        quota_limit limit_;
        holder_role role_;
        instant used_at_;
        instant promised_until_; ///< The latest time that a refusal named for its retry.
    };

    /** Returns the bucket of \p organisation for \p role, with \p limit. */
    auto bucket_for(const std::string& organisation, const quota_limit& limit, holder_role role,
                    instant now) -> entry&;

    std::unordered_map<std::string, entry> buckets_;
};

} // namespace sycamorewinch
