#include "policy/limit_share.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"

namespace sycamorewinch {

namespace {

/** Divides \p count units among targets in proportion to \p weights, by systematic sampling:
 * target i gets the number of integers that the scaled cumulative weight, offset by \p phase,
 * passes at i. The units always add up to \p count. */
auto apportion(std::uint64_t count, const std::vector<double>& weights, double phase)
    -> std::vector<std::uint32_t>
{
    double total = 0;
    for (const auto weight : weights) {
        total += weight;
    }
    std::vector<std::uint32_t> units;
    double sum = 0;
    std::uint64_t assigned = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        sum += weights[index];
        const bool is_last = index + 1 == weights.size();
        const auto reached =
            is_last ? count
                    : static_cast<std::uint64_t>(static_cast<double>(count) * sum / total + phase);
        units.push_back(static_cast<std::uint32_t>(std::max(reached, assigned) - assigned));
        assigned = std::max(reached, assigned);
    }
    return units;
}

/** Returns a number in [0, 1) derived from the name of \p caller. */
auto sampling_phase(std::string_view caller) -> double
{
    return static_cast<double>(hash_of(caller) >> 11U) * 0x1.0p-53;
}

/** With a smaller burst, a target loses much of its rate to the gaps between calls. */
constexpr std::uint32_t min_burst_per_target = 2;

/** Returns the smaller of the integer limits that must be divided among targets: the burst, in
 * units of min_burst_per_target, and the concurrency. Limits that are not set are left out. */
auto smallest_whole_limit(const caller_limit& limit) -> std::uint64_t
{
    const auto burst = std::max<std::uint32_t>(1, limit.burst_ / min_burst_per_target);
    if (limit.requests_per_second_ == 0) {
        return limit.concurrency_;
    }
    return limit.concurrency_ == 0 ? burst : std::min(burst, limit.concurrency_);
}

auto has_target(const service_route& route, std::string_view name) -> bool
{
    return std::ranges::any_of(
        route.targets_, [name](const auto& target) { return target.record_.target_ == name; });
}

} // namespace

auto is_limited(const caller_limit& limit) -> bool
{
    return limit.requests_per_second_ > 0 || limit.concurrency_ > 0;
}

auto targets_without_share(const service_route& route, std::string_view caller,
                           const caller_limit& limit) -> std::vector<std::string>
{
    std::vector<std::string> names;
    if (!is_limited(limit)) {
        return names;
    }
    const auto& whole = route.both_sides_ ? *route.both_sides_ : route;
    const auto shares = compute_limit_shares(whole, caller, limit);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        const auto& name = whole.targets_[index].record_.target_;
        if (!shares[index].admits_calls_ && (&whole == &route || has_target(route, name))) {
            names.push_back(name);
        }
    }
    return names;
}

auto compute_limit_shares(const service_route& route, std::string_view caller,
                          const caller_limit& limit) -> std::vector<limit_share>
{
    std::vector<double> weights;
    for (const auto& target : route.targets_) {
        weights.push_back(target.weight_);
    }
    const auto phase = sampling_phase(caller);
    if (is_limited(limit) && smallest_whole_limit(limit) < weights.size()) {
        const auto chosen = apportion(smallest_whole_limit(limit), weights, phase);
        for (std::size_t index = 0; index < weights.size(); ++index) {
            weights[index] = chosen[index] > 0 ? weights[index] : 0;
        }
    }
    double total = 0;
    for (const auto weight : weights) {
        total += weight;
    }
    const auto admitting = static_cast<std::uint64_t>(
        std::ranges::count_if(weights, [](auto each) { return each > 0; }));
    // Each admitting target gets 1; the rest is divided by weight.
    const auto spare_concurrency =
        std::max<std::uint64_t>(limit.concurrency_, admitting) - admitting;
    const auto concurrency = apportion(spare_concurrency, weights, phase);
    std::vector<limit_share> shares;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        limit_share share;
        share.admits_calls_ = weights[index] > 0;
        const auto fraction = total > 0 ? weights[index] / total : 0;
        share.requests_per_second_ = limit.requests_per_second_ * fraction;
        const auto spare_burst = std::max<double>(limit.burst_, static_cast<double>(admitting)) -
                                 static_cast<double>(admitting);
        share.burst_ = 1 + spare_burst * fraction;
        share.concurrency_ = limit.concurrency_ == 0 ? 0 : 1 + concurrency[index];
        shares.push_back(share);
    }
    return shares;
}

} // namespace sycamorewinch
