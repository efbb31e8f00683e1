/** \file
 * A token bucket that is filled continuously at a rate, and begins empty.
 */
#pragma once

#include <cstdint>

#include "base/time.h"

namespace sycamorewinch {

/** A number of tokens that grows at a rate up to a capacity. */
class token_bucket {
  public:
    /** Creates a bucket that is empty at \p now. */
    token_bucket(double per_second, double capacity, instant now)
        : per_second_(per_second), capacity_(capacity), filled_at_(now)
    {
    }

    /** Changes the rate and the capacity from \p now on. Tokens beyond the capacity are dropped. */
    void set_limit(double per_second, double capacity, instant now);

    /** Takes up to \p wanted whole tokens; returns how many. */
    auto take(std::uint64_t wanted, instant now) -> std::uint64_t;

    /** Adds tokens that were taken and not used. */
    void put_back(std::uint64_t tokens, instant now);

    /** Returns the number of tokens at \p now. */
    [[nodiscard]] auto available(instant now) const -> double;

    /** Returns how long after \p now the bucket holds one token; zero if it does already. */
    [[nodiscard]] auto delay(instant now) const -> duration;

  private:
    void fill(instant now);

    double per_second_;
    double capacity_;
    double tokens_ = 0;
    instant filled_at_;
};

} // namespace sycamorewinch
