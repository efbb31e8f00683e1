#include "policy/route_table.h"

#include <algorithm>
#include <map>

namespace sycamorewinch {

namespace {

using zone_counts = std::map<std::string, unsigned>;

/** Returns the share of one target. A zone's weight is spread over the targets up in it. */
auto weight_of(const row& row, const target_record& target, const zone_counts& in_zone) -> double
{
    if (row.weights_.empty()) {
        return 1;
    }
    for (const auto& weight : row.weights_) {
        if (weight.scope_ == weight_scope::target && weight.name_ == target.target_) {
            return weight.weight_;
        }
    }
    for (const auto& weight : row.weights_) {
        if (weight.scope_ == weight_scope::availability_zone &&
            weight.name_ == target.availability_zone_) {
            return static_cast<double>(weight.weight_) / in_zone.at(target.availability_zone_);
        }
    }
    return 0;
}

void fill_targets(service_route& route, const std::vector<const target_record*>& targets)
{
    zone_counts in_zone;
    for (const auto* target : targets) {
        ++in_zone[target->availability_zone_];
    }
    for (const auto* target : targets) {
        const auto weight = weight_of(*route.row_, *target, in_zone);
        if (weight > 0) {
            auto health = route.state_ ? route.state_->health_of(target->target_) : nullptr;
            route.targets_.push_back({*target, weight, std::move(health)});
            route.total_weight_ += weight;
        }
    }
}

} // namespace

auto route_table::create(std::shared_ptr<const table> table,
                         const std::vector<target_record>& targets,
                         const service_state_hook& state_of) -> std::shared_ptr<const route_table>
{
    const std::shared_ptr<route_table> routes(new route_table());
    routes->table_ = std::move(table);
    if (!routes->table_) {
        return routes;
    }
    std::map<std::string, std::vector<const target_record*>> by_service;
    for (const auto& target : targets) {
        if (target.state_ == target_state::up) {
            by_service[target.service_].push_back(&target);
        }
    }
    for (const auto& row : routes->table_->rows_) {
        service_route route;
        route.row_ = &row;
        route.state_ = state_of ? state_of(row.service_) : nullptr;
        routes->index_.add(row.path_prefix_, routes->routes_.size());
        fill_targets(route, by_service[row.service_]);
        routes->routes_.push_back(std::move(route));
    }
    return routes;
}

auto route_table::match(std::string_view path) const -> const service_route*
{
    const auto position = index_.find(path);
    return position ? &routes_[*position] : nullptr;
}

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

} // namespace sycamorewinch
