#include "policy/service_state.h"

namespace sycamorewinch {

void service_state::count_refusal(refusal_reason reason, std::uint64_t amount)
{
    const auto resolve = [this, reason]() -> counter& {
        return registry_.count("sycamorewinch_refusals_total",
                               "Refused calls, by reason and service.",
                               {{"reason", name_of(reason)}, {"service", service_}});
    };
    refusals_.at(static_cast<std::size_t>(reason)).get(resolve).add(amount);
}

void service_state::count_retry(retry_reason reason, std::uint64_t amount)
{
    const auto resolve = [this, reason]() -> counter& {
        return registry_.count("sycamorewinch_retries_total",
                               "Retries, by the refusal reason of the previous attempt.",
                               {{"reason", name_of(reason)}, {"service", service_}});
    };
    retries_.at(static_cast<std::size_t>(reason)).get(resolve).add(amount);
}

void service_state::count_not_retried(retry_decision decision, std::uint64_t amount)
{
    const auto resolve = [this, decision]() -> counter& {
        return registry_.count("sycamorewinch_not_retried_total",
                               "Calls not retried after a refused attempt, by cause.",
                               {{"cause", name_of(decision)}, {"service", service_}});
    };
    no_retries_.at(static_cast<std::size_t>(decision)).get(resolve).add(amount);
}

void service_state::register_counters()
{
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        count_refusal(static_cast<refusal_reason>(index), 0);
    }
    for (std::size_t index = 0; index < retry_reason_count; ++index) {
        count_retry(static_cast<retry_reason>(index), 0);
    }
    for (std::size_t index = 1; index < retry_decision_count; ++index) { // 0 is retry
        count_not_retried(static_cast<retry_decision>(index), 0);
    }
}

void service_state::record_call(duration elapsed)
{
    const auto resolve = [this]() -> histogram& {
        return registry_.seconds("sycamorewinch_call_seconds",
                                 "Time from the header of a call to the end of its response.",
                                 {{"service", service_}});
    };
    call_seconds_.get(resolve).record(to_seconds(elapsed));
}

auto service_state::health_of(const std::string& target) -> std::shared_ptr<target_health>
{
    std::erase_if(health_, [](const auto& each) { return each.second.expired(); });
    auto health = health_[target].lock();
    if (!health) {
        health = std::make_shared<target_health>();
        health_[target] = health;
    }
    return health;
}

auto service_states::of(const std::string& service) -> std::shared_ptr<service_state>
{
    auto& state = states_[service];
    if (!state) {
        state = std::make_shared<service_state>(registry_, service);
    }
    return state;
}

} // namespace sycamorewinch
