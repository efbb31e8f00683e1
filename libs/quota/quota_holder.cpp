#include "quota/quota_holder.h"

#include <algorithm>
#include <cmath>

namespace sycamorewinch {

namespace {

constexpr double thousandths = 1'000;
/** Tokens beyond the burst that a bucket holds, in seconds of the rate and in tokens. At random
 * arrivals at 90 % of the rate, a bucket of fewer than 15 tokens refuses more than 1 in 200. The
 * bound on any 5 s allows 0.5 s of the rate and 20 requests, of which the rest is left to tokens
 * that nodes hold and to the time for which two holders grant. */
constexpr double extra_seconds = 0.15;
constexpr double extra_tokens = 16;
/** Tokens ahead of need are granted while the bucket is fuller than this. Otherwise a node could
 * hold tokens unused while another refuses requests. */
constexpr double fill_for_ahead = 0.5;
/** A substitute that was not asked for this time, and for that in which a few tokens fall due, may
 * have filled its bucket while another node granted, and begins again. */
constexpr duration max_substitute_idle = std::chrono::seconds(1);
constexpr double max_substitute_idle_tokens = 2;
/** Refusals name successive times for retries up to this far ahead. */
constexpr duration max_spread = std::chrono::milliseconds(250);

auto rate_of(const quota_limit& limit) -> double
{
    return static_cast<double>(limit.rate_thousandths_) / thousandths;
}

auto max_idle_of_substitute(const quota_limit& limit) -> duration
{
    const auto micros = max_substitute_idle_tokens / rate_of(limit) * std::micro::den;
    return max_substitute_idle + duration(static_cast<std::int64_t>(micros));
}

auto round_up(duration span) -> std::chrono::milliseconds
{
    return std::chrono::ceil<std::chrono::milliseconds>(span);
}

} // namespace

auto bucket_capacity(const quota_limit& limit) -> double
{
    return static_cast<double>(limit.burst_) + extra_seconds * rate_of(limit) + extra_tokens;
}

auto quota_holder::grant(const quota_ask& ask, const quota_limit& limit, holder_role role,
                         instant now) -> quota_grant
{
    if (limit.rate_thousandths_ == 0) {
        buckets_.erase(ask.organisation_);
        return {ask.needed_ + ask.ahead_, lease_lifetime, {}};
    }
    auto& entry = bucket_for(ask.organisation_, limit, role, now);
    auto& bucket = entry.bucket_;
    bucket.put_back(ask.returned_, now);
    quota_grant grant{bucket.take(ask.needed_, now), lease_lifetime, {}};
    if (grant.tokens_ < ask.needed_) {
        const auto interval = duration(static_cast<std::int64_t>(std::micro::den / rate_of(limit)));
        const auto earliest = now + bucket.delay(now);
        entry.promised_until_ = std::max(earliest, entry.promised_until_ + interval);
        entry.promised_until_ =
            std::min(entry.promised_until_, std::max(earliest, now + max_spread));
        grant.retry_after_ = round_up(entry.promised_until_ - now);
        return grant;
    }
    const auto spare = bucket.available(now) - fill_for_ahead * bucket_capacity(limit);
    if (spare >= 1) {
        const auto most = static_cast<std::uint64_t>(spare);
        grant.tokens_ += bucket.take(std::min(ask.ahead_, most), now);
    }
    return grant;
}

void quota_holder::end_substitution(const std::string& organisation)
{
    const auto found = buckets_.find(organisation);
    if (found != buckets_.end() && found->second.role_ == holder_role::substitute) {
        buckets_.erase(found);
    }
}

void quota_holder::on_nodes_changed(
    const std::function<bool(const std::string& organisation)>& is_holder)
{
    std::erase_if(buckets_, [&is_holder](const auto& item) {
        return item.second.role_ == holder_role::holder && !is_holder(item.first);
    });
}

auto quota_holder::bucket_for(const std::string& organisation, const quota_limit& limit,
                              holder_role role, instant now) -> entry&
{
    const auto found = buckets_.find(organisation);
    if (found != buckets_.end()) {
        const auto& known = found->second;
        const bool was_demoted =
            known.role_ == holder_role::holder && role == holder_role::substitute;
        const bool is_stale = known.role_ == holder_role::substitute &&
                              now - known.used_at_ > max_idle_of_substitute(limit);
        if (was_demoted || is_stale) {
            buckets_.erase(found);
        }
    }
    const token_bucket empty(rate_of(limit), bucket_capacity(limit), now);
    const entry fresh{empty, limit, role, now, instant()};
    auto& entry = buckets_.try_emplace(organisation, fresh).first->second;
    if (entry.limit_ != limit) {
        entry.bucket_.set_limit(rate_of(limit), bucket_capacity(limit), now);
        entry.limit_ = limit;
    }
    entry.role_ = role;
    entry.used_at_ = now;
    return entry;
}

} // namespace sycamorewinch
