#include "resources/memory_account.h"

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<memory_use, memory_use_count> use_names{{"calls", "interfaces"}};

} // namespace

auto name_of(memory_use use) -> std::string_view
{
    return use_names.name(use);
}

memory_account::memory_account(const memory_limits& limits, metrics_registry& metrics)
    : limits_(limits), metrics_(metrics)
{
    for (std::size_t index = 0; index < memory_use_count; ++index) {
        const auto name = name_of(static_cast<memory_use>(index));
        gauges_.at(index) = &metrics.gauge("sycamorewinch_client_memory_bytes",
                                           "Memory held for clients.", {{"use", name}});
        metrics
            .gauge("sycamorewinch_client_memory_limit_bytes",
                   "Limit of the memory held for clients.", {{"use", name}})
            .set(limits_.at(index));
    }
}

void memory_account::add(memory_use use, std::uint64_t bytes)
{
    const auto index = static_cast<std::size_t>(use);
    gauges_.at(index)->set(held_.at(index).fetch_add(bytes, std::memory_order_relaxed) + bytes);
}

void memory_account::subtract(memory_use use, std::uint64_t bytes)
{
    const auto index = static_cast<std::size_t>(use);
    gauges_.at(index)->set(held_.at(index).fetch_sub(bytes, std::memory_order_relaxed) - bytes);
}

auto memory_account::held(memory_use use) const -> std::uint64_t
{
    return held_.at(static_cast<std::size_t>(use)).load(std::memory_order_relaxed);
}

} // namespace sycamorewinch
