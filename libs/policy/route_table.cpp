#include "policy/route_table.h"

#include <algorithm>
#include <cctype>
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

using targets_by_service = std::map<std::string, std::vector<const target_record*>>;
using parts_by_service = std::map<std::string, std::shared_ptr<const service_route>>;

void fill_targets(service_route& route, const std::vector<const target_record*>& targets)
{
    static const row alike; // the targets of a part all weigh the same
    const auto& row = route.row_ != nullptr ? *route.row_ : alike;
    zone_counts in_zone;
    for (const auto* target : targets) {
        ++in_zone[target->availability_zone_];
    }
    for (const auto* target : targets) {
        const auto weight = weight_of(row, *target, in_zone);
        if (weight > 0) {
            auto health = route.state_ ? route.state_->health_of(target->target_) : nullptr;
            route.targets_.push_back({*target, weight, std::move(health)});
            route.total_weight_ += weight;
        }
    }
}

auto make_part(const std::string& service, const targets_by_service& targets,
               const service_state_hook& state_of) -> std::shared_ptr<const service_route>
{
    auto part = std::make_shared<service_route>();
    part->service_ = service;
    part->state_ = state_of ? state_of(service) : nullptr;
    if (const auto found = targets.find(service); found != targets.end()) {
        fill_targets(*part, found->second);
    }
    return part;
}

void fill_parts(service_route& route, parts_by_service& parts, const targets_by_service& targets,
                const service_state_hook& state_of)
{
    for (const auto& share : route.row_->split_) {
        auto& part = parts[share.service_];
        if (!part) {
            part = make_part(share.service_, targets, state_of);
        }
        route.parts_.push_back({share.weight_, part});
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
    targets_by_service by_service;
    parts_by_service parts;
    for (const auto& target : targets) {
        if (target.state_ == target_state::up) {
            by_service[target.service_].push_back(&target);
        }
    }
    for (const auto& row : routes->table_->rows_) {
        service_route route;
        route.row_ = &row;
        route.service_ = row.service_;
        routes->by_host_[row.host_].add(row.path_prefix_, routes->routes_.size());
        route.state_ = state_of ? state_of(row.service_) : nullptr;
        if (row.split_.empty()) {
            fill_targets(route, by_service[row.service_]);
        }
        else {
            fill_parts(route, parts, by_service, state_of);
        }
        routes->routes_.push_back(std::move(route));
    }
    return routes;
}

auto route_table::match(std::string_view path, std::string_view host) const -> const service_route*
{
    for (const auto& name : {host_name_of(host), std::string()}) {
        const auto found = by_host_.find(name);
        const auto position = found != by_host_.end() ? found->second.find(path) : std::nullopt;
        if (position) {
            return &routes_[*position];
        }
    }
    return nullptr;
}

auto host_name_of(std::string_view host) -> std::string
{
    const auto bracket = host.rfind(']'); // an IPv6 number holds colons of its own
    const auto colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
    std::string name(host.substr(0, colon));
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return name;
}

auto choose_destination(const service_route& route, const random_hook& random)
    -> const service_route&
{
    std::uint64_t total = 0;
    for (const auto& part : route.parts_) {
        total += part.weight_;
    }
    if (total == 0) {
        return route;
    }
    auto point = uniform_below(random, total);
    for (const auto& part : route.parts_) {
        if (point < part.weight_) {
            return *part.route_;
        }
        point -= part.weight_;
    }
    return *route.parts_.back().route_;
}

auto find_destination(const service_route& route, std::string_view service) -> const service_route*
{
    if (route.parts_.empty()) {
        return route.service_ == service ? &route : nullptr;
    }
    for (const auto& part : route.parts_) {
        if (part.route_->service_ == service) {
            return part.route_.get();
        }
    }
    return nullptr;
}

} // namespace sycamorewinch
