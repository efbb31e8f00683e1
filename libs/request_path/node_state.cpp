#include "request_path/node_state.h"

namespace sycamorewinch {

call_metrics::call_metrics(metrics_registry& registry) : registry_(registry)
{
    // Every reason shows from the start, so that a rate over the counters has its zero.
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        const auto reason = static_cast<refusal_reason>(index);
        refusal_counter(reason, {});
        retry_counter(reason, {});
    }
}

auto call_metrics::refusal_counter(refusal_reason reason, std::string_view service) -> counter&
{
    return registry_.count("sycamorewinch_refusals_total", "Calls refused, by reason and service.",
                           {{"reason", name_of(reason)}, {"service", service}});
}

auto call_metrics::retry_counter(refusal_reason reason, std::string_view service) -> counter&
{
    return registry_.count("sycamorewinch_retries_total",
                           "Further attempts, by what ended the one before.",
                           {{"reason", name_of(reason)}, {"service", service}});
}

void call_metrics::count_refusal(refusal_reason reason, std::string_view service)
{
    refusal_counter(reason, service).add();
}

void call_metrics::count_retry(refusal_reason reason, std::string_view service)
{
    retry_counter(reason, service).add();
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
