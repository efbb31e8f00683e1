#include "quota/quota_leases.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamorewinch {

namespace {

/** Requests expected within this time get tokens together with those that wait. */
constexpr double ahead_seconds = 0.25;
/** Time constant of the measured demand. */
constexpr double demand_seconds = 1.0;
/** A refusal is not repeated without asking for longer than this, since the quota may be raised. */
constexpr duration max_refused_time = std::chrono::seconds(1);

} // namespace

void quota_leases::count_demand(instant now)
{
    const auto elapsed = std::max(to_seconds(now - demand_at_), 0.0);
    demand_per_second_ =
        demand_per_second_ * std::exp(-elapsed / demand_seconds) + 1 / demand_seconds;
    demand_at_ = std::max(demand_at_, now);
}

auto quota_leases::take(instant now) -> bool
{
    expire(now);
    if (batches_.empty()) {
        return false;
    }
    if (--batches_.front().tokens_ == 0) {
        batches_.pop_front();
    }
    return true;
}

auto quota_leases::refused_for(instant now) const -> duration
{
    return std::max(refused_until_ - now, duration(0));
}

auto quota_leases::tokens_ahead(instant now) const -> std::uint64_t
{
    const auto elapsed = std::max(to_seconds(now - demand_at_), 0.0);
    const auto demand = demand_per_second_ * std::exp(-elapsed / demand_seconds);
    return static_cast<std::uint64_t>(demand * ahead_seconds);
}

auto quota_leases::return_expired(const std::string& holder, instant now) -> std::uint64_t
{
    expire(now);
    const auto tokens = std::exchange(expired_, 0);
    return holder == holder_ ? tokens : 0;
}

void quota_leases::add(const quota_grant& grant, const std::string& holder, std::uint64_t needed,
                       instant asked_at, instant now)
{
    if (holder != holder_) {
        expire(now);
        expired_ = 0;
        holder_ = holder;
    }
    if (grant.tokens_ > 0) {
        batches_.push_back({grant.tokens_, asked_at + grant.lifetime_});
    }
    expire(now);
    if (grant.tokens_ < needed) {
        refused_until_ = now + std::min<duration>(grant.retry_after_, max_refused_time);
    }
}

auto quota_leases::take_expired_count() -> std::uint64_t
{
    return std::exchange(expired_count_, 0);
}

void quota_leases::expire(instant now)
{
    while (!batches_.empty() && batches_.front().expires_at_ <= now) {
        expired_ += batches_.front().tokens_;
        expired_count_ += batches_.front().tokens_;
        batches_.pop_front();
    }
}

} // namespace sycamorewinch
