#include "policy/target_choice.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

using candidates = std::vector<const weighted_target*>;

/** What a call to another availability zone must save, in aims of its row: such calls are slower
 * and the links dear. */
constexpr double cost_of_crossing = 1;

/** Returns the cost of \p target; 0 when nothing is known of it. */
auto cost_of(const weighted_target& target, instant now) -> double
{
    return target.health_ ? target.health_->cost(now) : 0;
}

auto better_of(const weighted_target* one, const weighted_target* other, instant now)
    -> const weighted_target*
{
    const auto cost = cost_of(*one, now);
    const auto other_cost = cost_of(*other, now);
    // Of a target that nothing is known of, the only way to learn is to try.
    const bool are_known = cost > 0 && other_cost > 0;
    return are_known && other_cost < cost ? other : one;
}

/** Returns the best of three draws, of which the first two differ; nullptr without \p targets. */
auto draw_light(const candidates& targets, instant now, const random_hook& random)
    -> const weighted_target*
{
    if (targets.size() <= 1) {
        return targets.empty() ? nullptr : targets.front();
    }
    const auto first = uniform_below(random, targets.size());
    const auto second = (first + 1 + uniform_below(random, targets.size() - 1)) % targets.size();
    const auto third = uniform_below(random, targets.size());
    return better_of(better_of(targets[first], targets[second], now), targets[third], now);
}

auto is_worth_crossing(const weighted_target& near, const weighted_target& far, instant now) -> bool
{
    const auto cost = cost_of(far, now);
    return cost > 0 && cost + cost_of_crossing < cost_of(near, now);
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
        if (target.health_ && target.health_->is_unreachable(now) &&
            std::ranges::find(names, name) == names.end()) {
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
    candidates near;
    candidates far;
    for (const auto& target : route.targets_) {
        if (std::ranges::find(excluded, target.record_.target_) == excluded.end()) {
            const bool is_near = zone.empty() || target.record_.availability_zone_ == zone;
            (is_near ? near : far).push_back(&target);
        }
    }
    const auto* nearby = draw_light(near, now, random);
    const auto* away = draw_light(far, now, random);
    if (nearby == nullptr || away == nullptr) {
        const auto* only = nearby != nullptr ? nearby : away;
        return only != nullptr ? only : choose_target(route, excluded, random);
    }
    return is_worth_crossing(*nearby, *away, now) ? away : nearby;
}

} // namespace sycamorewinch
