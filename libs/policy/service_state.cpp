#include "policy/service_state.h"

namespace sycamorewinch {

namespace {

/** Returns the handle, resolved by \p resolve on first use. Two threads resolve to the same. */
template <typename Metric, typename Resolve>
auto resolved(std::atomic<Metric*>& handle, const Resolve& resolve) -> Metric&
{
    auto* found = handle.load(std::memory_order_acquire);
    if (found == nullptr) {
        found = &resolve();
        handle.store(found, std::memory_order_release);
    }
    return *found;
}

} // namespace

void service_state::count_refusal(refusal_reason reason, std::uint64_t amount)
{
    const auto resolve = [this, reason]() -> counter& {
        return registry_.count("sycamorewinch_refusals_total",
                               "Calls refused, by reason and service.",
                               {{"reason", name_of(reason)}, {"service", service_}});
    };
    resolved(refusals_.at(static_cast<std::size_t>(reason)), resolve).add(amount);
}

void service_state::count_retry(retry_reason reason, std::uint64_t amount)
{
    const auto resolve = [this, reason]() -> counter& {
        return registry_.count("sycamorewinch_retries_total",
                               "Further attempts, by what ended the one before.",
                               {{"reason", name_of(reason)}, {"service", service_}});
    };
    resolved(retries_.at(static_cast<std::size_t>(reason)), resolve).add(amount);
}

void service_state::count_not_retried(retry_decision decision, std::uint64_t amount)
{
    const auto resolve = [this, decision]() -> counter& {
        return registry_.count("sycamorewinch_not_retried_total",
                               "Calls not tried again after a refused attempt, by cause.",
                               {{"cause", name_of(decision)}, {"service", service_}});
    };
    resolved(no_retries_.at(static_cast<std::size_t>(decision)), resolve).add(amount);
}

void service_state::register_counters()
{
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        count_refusal(static_cast<refusal_reason>(index), 0);
    }
    for (std::size_t index = 0; index < retry_reason_count; ++index) {
        count_retry(static_cast<retry_reason>(index), 0);
    }
    for (std::size_t index = 1; index < retry_decision_count; ++index) { // 0 is a retry
        count_not_retried(static_cast<retry_decision>(index), 0);
    }
}

void service_state::record_call(duration taken)
{
    const auto resolve = [this]() -> histogram& {
        return registry_.seconds("sycamorewinch_call_seconds",
                                 "Time from a call's header to its answer's end.",
                                 {{"service", service_}});
    };
    resolved(seconds_, resolve).record(to_seconds(taken));
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
