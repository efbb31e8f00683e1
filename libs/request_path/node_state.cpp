#include "request_path/node_state.h"

namespace sycamorewinch {

node_state::node_state(std::string own_address, metrics_registry& registry)
    : own_address_(std::move(own_address)), routes_(route_table::create(nullptr, {})),
      targets_(std::make_shared<const local_targets>()), states_(registry),
      unrouted_(states_.of(""))
{
    unrouted_->register_counters();
}

void node_state::publish_routes(const std::shared_ptr<const table>& enforced,
                                const std::vector<target_record>& targets,
                                std::shared_ptr<const rollout_set> rollouts)
{
    publish_routes(route_table::create(
        enforced, targets, [this](const std::string& service) { return states_.of(service); },
        {std::move(rollouts), rollout_currency_}));
}

} // namespace sycamorewinch
