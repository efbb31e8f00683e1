#include "bench/sample_table.h"

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr std::uint32_t sample_rate = 500;
constexpr std::uint32_t sample_burst = 100;
constexpr std::uint32_t sample_concurrency = 50;
constexpr auto sample_timeout = std::chrono::milliseconds(800);
constexpr std::uint64_t first_port = 10'000;
constexpr std::uint64_t port_count = 50'000;
constexpr std::uint64_t addresses_per_subnet = 250;

auto service_name(std::uint64_t number) -> std::string
{
    return fmt::format("service-{:05}", number);
}

auto zone_name(std::uint64_t number) -> std::string
{
    return fmt::format("zone-{}", number);
}

auto sample_row(std::uint64_t number) -> row
{
    row sample{.service_ = service_name(number),
               .path_prefix_ = fmt::format("/service-{:05}", number)};
    for (std::uint64_t zone = 0; zone < 3; ++zone) {
        sample.weights_.push_back({weight_scope::availability_zone, zone_name(zone),
                                   static_cast<std::uint32_t>(zone + 1)});
    }
    sample.default_limit_ = {sample_rate, sample_burst, sample_concurrency};
    sample.named_limits_ = {{"reports", {10, 10, 2}}};
    sample.timeout_ = sample_timeout;
    sample.retries_ = 1;
    if (number > 0) {
        sample.depends_on_ = {service_name(number / 2)};
    }
    return sample;
}

} // namespace

auto sample_rows(std::uint64_t count) -> std::vector<row>
{
    std::vector<row> rows;
    rows.reserve(count);
    for (std::uint64_t number = 0; number < count; ++number) {
        rows.push_back(sample_row(number));
    }
    return rows;
}

auto sample_version(std::vector<row> rows, std::uint64_t number) -> table_pointer
{
    auto& changed = rows[number % rows.size()];
    changed.default_limit_.requests_per_second_ =
        sample_rate + static_cast<std::uint32_t>(number) + 1;
    return std::make_shared<const table>(make_table(number, std::move(rows)));
}

auto sample_targets(std::uint64_t count, std::uint64_t services, std::uint64_t zones)
    -> std::vector<target_record>
{
    std::vector<target_record> targets;
    targets.reserve(count);
    for (std::uint64_t number = 0; number < count; ++number) {
        target_record sample{.service_ = service_name(number % services),
                             .target_ = fmt::format("target-{:05}", number),
                             .availability_zone_ = zone_name(number % zones)};
        sample.node_address_ =
            fmt::format("10.0.{}.{}:{}", number / addresses_per_subnet,
                        number % addresses_per_subnet, first_port + number % port_count);
        sample.incarnation_ = 1;
        sample.sequence_ = 1;
        sample.slots_ = 10;
        targets.push_back(std::move(sample));
    }
    return targets;
}

} // namespace sycamorewinch
