#include "policy/limit_share.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"

namespace sycamorewinch {

namespace {

/** Shares out \p count whole units by \p weights (systematic sampling): target i gets the number
 * of integers passed while the sum of weights grows over it. The units always add up to count. */
auto share_units(std::uint64_t count, const std::vector<double>& weights, double phase)
    -> std::vector<std::uint32_t>
{
    double total = 0;
    for (const auto weight : weights) {
        total += weight;
    }
    std::vector<std::uint32_t> units;
    double sum = 0;
    std::uint64_t given = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        sum += weights[index];
        const bool is_last = index + 1 == weights.size();
        const auto reached =
            is_last ? count
                    : static_cast<std::uint64_t>(static_cast<double>(count) * sum / total + phase);
        units.push_back(static_cast<std::uint32_t>(std::max(reached, given) - given));
        given = std::max(reached, given);
    }
    return units;
}

/** Returns a number in [0, 1) that belongs to \p caller. */
auto phase_of(std::string_view caller) -> double
{
    return static_cast<double>(hash_of(caller) >> 11U) * 0x1.0p-53;
}

/** A target that grants less at once than this wastes much of its rate on the gaps between calls.
 */
constexpr std::uint32_t least_burst = 2;

/** Returns the smallest whole number that must be shared out, or 0 when there is none. */
auto scarcest(const caller_limit& limit) -> std::uint64_t
{
    const auto burst = std::max<std::uint32_t>(1, limit.burst_ / least_burst);
    if (limit.requests_per_second_ == 0) {
        return limit.concurrency_;
    }
    return limit.concurrency_ == 0 ? burst : std::min(burst, limit.concurrency_);
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
    const auto shares = compute_limit_shares(route, caller, limit);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        if (!shares[index].grants_) {
            names.push_back(route.targets_[index].record_.target_);
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
    const auto phase = phase_of(caller);
    if (is_limited(limit) && scarcest(limit) < weights.size()) {
        const auto chosen = share_units(scarcest(limit), weights, phase);
        for (std::size_t index = 0; index < weights.size(); ++index) {
            weights[index] = chosen[index] > 0 ? weights[index] : 0;
        }
    }
    double total = 0;
    for (const auto weight : weights) {
        total += weight;
    }
    const auto granting = static_cast<std::uint64_t>(
        std::ranges::count_if(weights, [](auto each) { return each > 0; }));
    // Each target that grants has one; the rest follows the weights.
    const auto concurrency_left = std::max<std::uint64_t>(limit.concurrency_, granting) - granting;
    const auto concurrency = share_units(concurrency_left, weights, phase);
    std::vector<limit_share> shares;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        limit_share share;
        share.grants_ = weights[index] > 0;
        const auto part = total > 0 ? weights[index] / total : 0;
        share.requests_per_second_ = limit.requests_per_second_ * part;
        const auto burst_left = std::max<double>(limit.burst_, static_cast<double>(granting)) -
                                static_cast<double>(granting);
        share.burst_ = 1 + burst_left * part;
        share.concurrency_ = limit.concurrency_ == 0 ? 0 : 1 + concurrency[index];
        shares.push_back(share);
    }
    return shares;
}

} // namespace sycamorewinch
