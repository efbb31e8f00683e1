/** \file
 * The tokens of one organisation that a node holds, and its demand for more.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "base/time.h"
#include "quota/quota_message.h"

namespace sycamorewinch {

/** Tokens that expire, with the demand as measured. */
class quota_leases {
  public:
    /** Counts one request of the organisation as demand. */
    void count_demand(instant now);

    /** Uses one token; returns whether there was one. */
    auto take(instant now) -> bool;

    /** Returns how long after \p now requests are refused without asking; zero: not at all. */
    [[nodiscard]] auto refused_for(instant now) const -> duration;

    /** Lets requests ask again, since the quota has changed. */
    void clear_refusal() { refused_until_ = {}; }

    /** Returns the number of tokens to ask for beyond those that are needed now. */
    [[nodiscard]] auto tokens_ahead(instant now) const -> std::uint64_t;

    /** Returns the number of tokens of \p holder that expired unused and were not returned yet,
     * which are thereby returned. Those of another holder are dropped: the new holder has not
     * issued them. */
    auto return_expired(const std::string& holder, instant now) -> std::uint64_t;

    /** Adds the tokens of \p grant by \p holder, which was asked at \p asked_at. If it has fewer
     * than \p needed tokens, requests are refused for the time that it names. */
    void add(const quota_grant& grant, const std::string& holder, std::uint64_t needed,
             instant asked_at, instant now);

    /** Returns how many tokens have expired unused since the previous call. */
    auto take_expired_count() -> std::uint64_t;

  private:
    struct batch {
        std::uint64_t tokens_;
        instant expires_at_;
    };

    void expire(instant now);

    std::deque<batch> batches_; ///< In the order in which they expire.
    std::string holder_;        ///< Issued the tokens.
    std::uint64_t expired_ = 0; ///< Not yet returned to holder_.
    std::uint64_t expired_count_ = 0;
    instant refused_until_{};
    double demand_per_second_ = 0; ///< At demand_at_.
    instant demand_at_{};
};

} // namespace sycamorewinch
