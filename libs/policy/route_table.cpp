#include "policy/route_table.h"

#include <algorithm>
#include <cctype>
#include <map>

#include "policy/version_choice.h"

namespace sycamorewinch {

namespace {

using zone_counts = std::map<std::string, unsigned>;

/** Returns the weight of one target. A zone's weight is divided evenly among its targets that are
 * up. */
auto weight_of(const row& row, const target_record& target, const zone_counts& targets_in_zone)
    -> double
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
            return static_cast<double>(weight.weight_) /
                   targets_in_zone.at(target.availability_zone_);
        }
    }
    return 0;
}

using targets_by_service = std::map<std::string, std::vector<const target_record*>>;
using destinations_by_service = std::map<std::string, std::shared_ptr<const service_route>>;

void fill_targets(service_route& route, const std::vector<const target_record*>& targets)
{
    static const row unweighted_row; // targets of a split destination have equal weights
    const auto& row = route.row_ != nullptr ? *route.row_ : unweighted_row;
    zone_counts targets_in_zone;
    for (const auto* target : targets) {
        ++targets_in_zone[target->availability_zone_];
    }
    for (const auto* target : targets) {
        const auto weight = weight_of(row, *target, targets_in_zone);
        if (weight > 0) {
            auto health = route.state_ ? route.state_->health_of(target->target_) : nullptr;
            route.targets_.push_back({*target, weight, std::move(health)});
            route.total_weight_ += weight;
        }
    }
}

/** Appends the targets of \p side to \p route, with weights that sum to \p share. */
void append_side(service_route& route, const service_route& side, std::uint32_t share)
{
    if (share == 0) {
        return;
    }
    for (auto target : side.targets_) {
        target.weight_ *= share / side.total_weight_;
        route.total_weight_ += target.weight_;
        route.targets_.push_back(std::move(target));
    }
}

/** Returns the sides of \p rollout; \p route is a side without targets. */
auto make_split(const service_route& route, const rollout& rollout, const version_sides& sides,
                const std::shared_ptr<const rollout_currency>& currency)
    -> std::shared_ptr<const version_split>
{
    auto split =
        std::make_shared<version_split>(version_split{rollout.share_, route, route, currency});
    fill_targets(split->old_, sides.old_);
    fill_targets(split->new_, sides.new_);
    auto both_sides = std::make_shared<service_route>(route);
    append_side(*both_sides, split->old_, whole_share - rollout.share_);
    append_side(*both_sides, split->new_, rollout.share_);
    split->old_.both_sides_ = both_sides;
    split->new_.both_sides_ = both_sides;
    return split;
}

/** Fills routes while a table of routes is created. What the rows of a service have in common is
 * computed once: there may be thousands of rows. */
class route_filler {
  public:
    route_filler(targets_by_service targets, const rollouts_in_force& rollouts)
        : targets_(std::move(targets)), rollouts_(rollouts)
    {
    }

    /** Adds the targets that get calls to \p route, which has none yet. */
    void fill(service_route& route)
    {
        const auto& targets = targets_[route.service_];
        const auto* rollout = rollouts_.set_ ? rollouts_.set_->find(route.service_) : nullptr;
        if (rollout == nullptr) {
            fill_targets(route, targets);
            return;
        }
        const auto& sides = divide(*rollout, targets);
        if (rollout->state_ == rollout_state::running && !sides.new_.empty()) {
            fill_split(route, *rollout, sides);
        }
        else {
            fill_targets(route, sides.new_.empty() ? sides.old_ : sides.new_);
        }
    }

  private:
    auto divide(const rollout& rollout, const std::vector<const target_record*>& targets)
        -> const version_sides&
    {
        const auto found = divided_.find(rollout.service_);
        return found != divided_.end()
                   ? found->second
                   : divided_.emplace(rollout.service_, divide_by_version(rollout, targets))
                         .first->second;
    }

    void fill_split(service_route& route, const rollout& rollout, const version_sides& sides)
    {
        const bool has_weights = route.row_ != nullptr && !route.row_->weights_.empty();
        std::shared_ptr<const version_split> own_split;
        auto& split = has_weights ? own_split : unweighted_splits_[rollout.service_];
        if (!split) {
            service_route empty_side;
            empty_side.row_ = has_weights ? route.row_ : nullptr;
            empty_side.service_ = route.service_;
            empty_side.state_ = route.state_;
            split = make_split(empty_side, rollout, sides, rollouts_.currency_);
        }
        if (split->new_.targets_.empty()) { // the row gives them no weight
            fill_targets(route, sides.old_);
            return;
        }
        route.targets_ = split->new_.both_sides_->targets_;
        route.total_weight_ = split->new_.both_sides_->total_weight_;
        route.versions_ = split;
    }

    targets_by_service targets_;
    const rollouts_in_force& rollouts_;
    std::map<std::string, version_sides> divided_;
    std::map<std::string, std::shared_ptr<const version_split>> unweighted_splits_;
};

auto make_destination(const std::string& service, route_filler& filler,
                      const service_state_hook& state_of) -> std::shared_ptr<const service_route>
{
    auto destination = std::make_shared<service_route>();
    destination->service_ = service;
    destination->state_ = state_of ? state_of(service) : nullptr;
    filler.fill(*destination);
    return destination;
}

void fill_destinations(service_route& route, destinations_by_service& destinations,
                       route_filler& filler, const service_state_hook& state_of)
{
    for (const auto& share : route.row_->split_) {
        auto& destination = destinations[share.service_];
        if (!destination) {
            destination = make_destination(share.service_, filler, state_of);
        }
        route.destinations_.push_back({share.weight_, destination});
    }
}

} // namespace

auto route_table::create(std::shared_ptr<const table> table,
                         const std::vector<target_record>& targets,
                         const service_state_hook& state_of, const rollouts_in_force& rollouts,
                         std::shared_ptr<const organisation_index> organisations,
                         prefix_match match) -> std::shared_ptr<const route_table>
{
    const std::shared_ptr<route_table> routes(new route_table());
    routes->table_ = std::move(table);
    routes->organisations_ =
        organisations ? std::move(organisations) : organisation_index::create(routes->table_);
    if (!routes->table_) {
        return routes;
    }
    targets_by_service by_service;
    destinations_by_service destinations;
    for (const auto& target : targets) {
        if (target.state_ == target_state::up && !has_left(target)) {
            by_service[target.service_].push_back(&target);
        }
    }
    route_filler filler(std::move(by_service), rollouts);
    for (const auto& row : routes->table_->rows_) {
        service_route route;
        route.row_ = &row;
        route.service_ = row.service_;
        routes->by_host_[row.host_].add(row.path_prefix_, routes->routes_.size(), match);
        route.state_ = state_of ? state_of(row.service_) : nullptr;
        if (row.split_.empty()) {
            filler.fill(route);
        }
        else {
            fill_destinations(route, destinations, filler, state_of);
        }
        routes->routes_.push_back(std::move(route));
    }
    return routes;
}

auto route_table::match(std::string_view path, std::string_view host) const -> const service_route*
{
    for (const auto& name : {normalize_host(host), std::string()}) {
        const auto found = by_host_.find(name);
        const auto position = found != by_host_.end() ? found->second.find(path) : std::nullopt;
        if (position) {
            return &routes_[*position];
        }
    }
    return nullptr;
}

auto normalize_host(std::string_view host) -> std::string
{
    const auto bracket = host.rfind(']'); // an IPv6 address contains colons
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
    for (const auto& destination : route.destinations_) {
        total += destination.weight_;
    }
    if (total == 0) {
        return route;
    }
    auto point = uniform_below(random, total);
    for (const auto& destination : route.destinations_) {
        if (point < destination.weight_) {
            return *destination.route_;
        }
        point -= destination.weight_;
    }
    return *route.destinations_.back().route_;
}

auto find_destination(const service_route& route, std::string_view service) -> const service_route*
{
    if (route.destinations_.empty()) {
        return route.service_ == service ? &route : nullptr;
    }
    for (const auto& destination : route.destinations_) {
        if (destination.route_->service_ == service) {
            return destination.route_.get();
        }
    }
    return nullptr;
}

} // namespace sycamorewinch
