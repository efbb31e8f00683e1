#include "quota/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace sycamorewinch {

namespace {

constexpr double microseconds_per_second = 1e6;
/** The delay of a bucket that is not filled at all. */
constexpr double max_delay_seconds = 3'600;
/** Makes up for rounding, so that a token is available after exactly the stated delay. */
constexpr double rounding = 1e-6;

} // namespace

void token_bucket::set_limit(double per_second, double capacity, instant now)
{
    fill(now);
    per_second_ = per_second;
    capacity_ = capacity;
    tokens_ = std::min(tokens_, capacity_);
}

auto token_bucket::take(std::uint64_t wanted, instant now) -> std::uint64_t
{
    fill(now);
    const auto whole = static_cast<std::uint64_t>(tokens_ + rounding);
    const auto taken = std::min(wanted, whole);
    tokens_ = std::max(tokens_ - static_cast<double>(taken), 0.0);
    return taken;
}

void token_bucket::put_back(std::uint64_t tokens, instant now)
{
    fill(now);
    tokens_ = std::min(tokens_ + static_cast<double>(tokens), capacity_);
}

auto token_bucket::available(instant now) const -> double
{
    const auto elapsed = std::max(to_seconds(now - filled_at_), 0.0);
    return std::min(tokens_ + elapsed * per_second_, capacity_);
}

auto token_bucket::delay(instant now) const -> duration
{
    const auto missing = 1 - available(now);
    if (missing <= rounding) {
        return duration(0);
    }
    const auto seconds = std::min(missing / std::max(per_second_, rounding), max_delay_seconds);
    const duration filling(static_cast<std::int64_t>(std::ceil(seconds * microseconds_per_second)));
    return std::max(filled_at_ - now, duration(0)) + filling;
}

void token_bucket::fill(instant now)
{
    tokens_ = available(now);
    filled_at_ = std::max(filled_at_, now);
}

} // namespace sycamorewinch
