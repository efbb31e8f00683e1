#include "request_path/node_state.h"

namespace sycamorewinch {

void call_metrics::count_refusal(refusal_reason reason, std::string_view service)
{
    registry_
        .count("sycamorewinch_refusals_total", "Calls refused, by reason and service.",
               {{"reason", name_of(reason)}, {"service", service}})
        .add();
}

void call_metrics::count_retry(refusal_reason reason, std::string_view service)
{
    registry_
        .count("sycamorewinch_retries_total", "Further attempts, by what ended the one before.",
               {{"reason", name_of(reason)}, {"service", service}})
        .add();
}

void call_metrics::record_call(std::string_view service, duration taken)
{
    registry_
        .seconds("sycamorewinch_call_seconds", "Time from a call's header to its answer's end.",
                 {{"service", service}})
        .record(to_seconds(taken));
}

node_state::node_state(std::string own_address, metrics_registry& registry)
    : own_address_(std::move(own_address)), routes_(route_table::create(nullptr, {})),
      targets_(std::make_shared<const local_targets>()), metrics_(registry)
{
}

} // namespace sycamorewinch
