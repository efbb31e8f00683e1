#include "request_path/node_state.h"

namespace sycamorewinch {

namespace {

/** Returns the addresses of the nodes beside targets that are up. */
auto addresses_of(const std::vector<target_record>& targets) -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto& target : targets) {
        if (target.state_ == target_state::up && !has_left(target)) {
            addresses.push_back(target.node_address_);
        }
    }
    return addresses;
}

} // namespace

node_state::node_state(std::string own_address, metrics_registry& registry)
    : own_address_(std::move(own_address)), quotas_(own_address_, registry),
      routes_(route_table::create(nullptr, {})), targets_(std::make_shared<const local_targets>()),
      states_(registry), organisation_states_(registry), unrouted_(states_.of(""))
{
    unrouted_->register_counters();
}

void node_state::publish_routes(const std::shared_ptr<const table>& enforced,
                                const std::vector<target_record>& targets,
                                std::shared_ptr<const rollout_set> rollouts)
{
    if (!organisations_ || indexed_table_ != enforced) {
        organisations_ = organisation_index::create(
            enforced, [this](const std::string& name) { return organisation_states_.of(name); });
        indexed_table_ = enforced;
    }
    if (!organisations_->empty()) {
        quotas_.set_addresses(addresses_of(targets));
    }
    publish_routes(route_table::create(
        enforced, targets, [this](const std::string& service) { return states_.of(service); },
        {std::move(rollouts), rollout_currency_}, organisations_, prefix_match_));
}

} // namespace sycamorewinch
