#include "observability/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

auto log_rate_limiter::acquire(std::string_view event, instant now) -> std::optional<std::uint64_t>
{
    auto found = buckets_.find(event);
    if (found == buckets_.end()) {
        found = buckets_.emplace(std::string(event), bucket{burst_lines, now, 0}).first;
    }
    auto& bucket = found->second;
    const auto refilled = to_seconds(now - bucket.last_refill_) * lines_per_second;
    bucket.available_lines_ = std::min(burst_lines, bucket.available_lines_ + refilled);
    bucket.last_refill_ = now;
    if (bucket.available_lines_ < 1) {
        ++bucket.suppressed_;
        return std::nullopt;
    }
    bucket.available_lines_ -= 1;
    return std::exchange(bucket.suppressed_, 0);
}

} // namespace sycamorewinch
