#include "policy/target_choice.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

using candidates = std::vector<const weighted_target*>;

/** The cost that a call to another availability zone must save, in multiples of the row's target
 * latency: cross-zone calls are slower, and their links are expensive. */
constexpr double cross_zone_cost = 1;

/** Returns the cost of a call to \p target; 0 if it is not known. */
auto cost_of(const weighted_target& target, instant now) -> double
{
    return target.health_ ? target.health_->cost(now) : 0;
}

auto cheaper_of(const weighted_target* one, const weighted_target* other, instant now)
    -> const weighted_target*
{
    const auto cost = cost_of(*one, now);
    const auto other_cost = cost_of(*other, now);
    // A target of unknown cost is not compared: its cost becomes known only by calling it.
    const bool are_costs_known = cost > 0 && other_cost > 0;
    return are_costs_known && other_cost < cost ? other : one;
}

/** Returns the cheapest of three random \p targets, of which the first two differ; nullptr if there
 * are no targets. */
auto cheapest_of_three(const candidates& targets, instant now, const random_hook& random)
    -> const weighted_target*
{
    if (targets.size() <= 1) {
        return targets.empty() ? nullptr : targets.front();
    }
    const auto first = uniform_below(random, targets.size());
    const auto second = (first + 1 + uniform_below(random, targets.size() - 1)) % targets.size();
    const auto third = uniform_below(random, targets.size());
    return cheaper_of(cheaper_of(targets[first], targets[second], now), targets[third], now);
}

auto justifies_cross_zone_call(const weighted_target& local, const weighted_target& remote,
                               instant now) -> bool
{
    const auto cost = cost_of(remote, now);
    return cost > 0 && cost + cross_zone_cost < cost_of(local, now);
}

} // namespace

auto ejected_targets(const service_route& route, instant now) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& target : route.targets_) {
        if (target.health_ && target.health_->is_ejected(now)) {
            names.push_back(target.record_.target_);
        }
    }
    if (names.size() * 2 > route.targets_.size()) {
        names.clear();
    }
    for (const auto& target : route.targets_) {
        const auto& name = target.record_.target_;
        const bool is_left_out =
            target.health_ &&
            (target.health_->is_unreachable(now) || target.health_->is_rate_exhausted(now) ||
             target.health_->is_leaving(target.record_.started_));
        if (is_left_out && std::ranges::find(names, name) == names.end()) {
            names.push_back(name);
        }
    }
    return names;
}

auto choose_target(const service_route& route, const std::vector<std::string>& excluded,
                   const random_hook& random) -> const weighted_target*
{
    const auto is_excluded = [&excluded](const weighted_target& target) {
        return std::ranges::find(excluded, target.record_.target_) != excluded.end();
    };
    double total = 0;
    for (const auto& target : route.targets_) {
        total += is_excluded(target) ? 0 : target.weight_;
    }
    if (total <= 0) {
        return excluded.empty() ? nullptr : choose_target(route, {}, random);
    }
    auto point = uniform_unit(random) * total;
    const weighted_target* last = nullptr;
    for (const auto& target : route.targets_) {
        if (is_excluded(target)) {
            continue;
        }
        last = &target;
        point -= target.weight_;
        if (point < 0) {
            break;
        }
    }
    return last;
}

auto choose_target_by_cost(const service_route& route, std::string_view zone,
                           const std::vector<std::string>& excluded, instant now,
                           const random_hook& random) -> const weighted_target*
{
    const bool has_weights = route.row_ != nullptr && !route.row_->weights_.empty();
    if (has_weights) {
        return choose_target(route, excluded, random);
    }
    candidates local;
    candidates remote;
    for (const auto& target : route.targets_) {
        if (std::ranges::find(excluded, target.record_.target_) == excluded.end()) {
            const bool is_local = zone.empty() || target.record_.availability_zone_ == zone;
            (is_local ? local : remote).push_back(&target);
        }
    }
    const auto* best_local = cheapest_of_three(local, now, random);
    const auto* best_remote = cheapest_of_three(remote, now, random);
    if (best_local == nullptr || best_remote == nullptr) {
        const auto* only = best_local != nullptr ? best_local : best_remote;
        return only != nullptr ? only : choose_target(route, excluded, random);
    }
    return justifies_cross_zone_call(*best_local, *best_remote, now) ? best_remote : best_local;
}

} // namespace sycamorewinch
