#include "bench/node_cost.h"

#include <fmt/core.h>

#include "bench/cost_meter.h"
#include "bench/sample_table.h"
#include "policy/admission_controller.h"
#include "policy/target_choice.h"

namespace sycamorewinch {

namespace {

constexpr double microseconds_per_second = 1e6;
constexpr std::uint64_t zones = 7;
constexpr std::uint64_t targets_per_service = 5;
constexpr std::uint64_t calls_measured = 20'000;

auto make_routes(std::uint64_t services) -> std::shared_ptr<const route_table>
{
    return route_table::create(sample_version(sample_rows(services), 1),
                               sample_targets(services * targets_per_service, services, zones));
}

/** Returns the CPU microseconds for building the routes of a new version. */
auto routes_cpu(std::uint64_t services) -> double
{
    const auto version = sample_version(sample_rows(services), 1);
    const auto targets = sample_targets(services * targets_per_service, services, zones);
    return microseconds_per_second *
           cpu_seconds_of([&] { static_cast<void>(route_table::create(version, targets)); });
}

auto routes_heap(std::uint64_t services) -> double
{
    const auto version = sample_version(sample_rows(services), 1);
    const auto targets = sample_targets(services * targets_per_service, services, zones);
    const auto before = heap_bytes();
    const auto routes = route_table::create(version, targets);
    return static_cast<double>(heap_bytes() - before);
}

/** Returns the CPU microseconds per call for matching its route and choosing its target. */
auto route_cpu_per_call(std::uint64_t services) -> double
{
    const auto routes = make_routes(services);
    const auto random = seeded_random(1);
    std::vector<std::string> paths;
    for (std::uint64_t call = 0; call < calls_measured; ++call) {
        paths.push_back(fmt::format("/service-{:05}/items/{}", random() % services, call));
    }
    std::uint64_t chosen = 0;
    const auto cpu_seconds = cpu_seconds_of([&] {
        for (const auto& path : paths) {
            const auto* route = routes->match(path);
            chosen += choose_target(*route, {}, random) != nullptr ? 1 : 0;
        }
    });
    return chosen == calls_measured
               ? cpu_seconds * microseconds_per_second / static_cast<double>(calls_measured)
               : 0;
}

/** Decides whether to admit a call, as the node beside the target does. */
auto admit_one(admission_controller& controller, const service_route& route,
               const std::string& caller, instant now) -> bool
{
    const auto& limit = route.row_->limit_of(caller);
    const auto share =
        is_limited(limit) ? compute_limit_shares(route, caller, limit).front() : limit_share();
    return !controller.admit(caller, share, now).refusal_;
}

/** Returns the CPU microseconds for admitting one call, with \p callers different callers. */
auto admission_cpu_per_call(std::uint64_t callers) -> double
{
    const auto rows = sample_rows(1);
    const auto controller = std::make_unique<admission_controller>(1'000);
    service_route route;
    route.row_ = &rows.front();
    route.targets_ = {{{.target_ = "t0"}, 1}, {{.target_ = "t1"}, 1}, {{.target_ = "t2"}, 1}};
    std::vector<std::string> names;
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
        names.push_back(fmt::format("caller-{}", caller));
    }
    const auto cpu_seconds = cpu_seconds_of([&] {
        for (std::uint64_t call = 0; call < calls_measured; ++call) {
            const auto now = instant(std::chrono::milliseconds(call));
            static_cast<void>(admit_one(*controller, route, names[call % callers], now));
        }
    });
    return cpu_seconds * microseconds_per_second / static_cast<double>(calls_measured);
}

} // namespace

auto measure_node(const run_settings& settings) -> std::vector<series>
{
    const std::vector<std::uint64_t> services{475, 950, 1'900, 3'800};
    const std::vector<std::uint64_t> callers{10, 100, 1'000};
    return {
        measure_series({"routes_cpu", "services", "us", false, {}}, services, settings, routes_cpu),
        measure_series({"routes_heap", "services", "bytes", false, {}}, services, settings,
                       routes_heap),
        measure_series({"route_cpu_per_call", "services", "us", false, {}}, services, settings,
                       route_cpu_per_call),
        measure_series({"admission_cpu_per_call", "callers", "us", false, {}}, callers, settings,
                       admission_cpu_per_call),
    };
}

} // namespace sycamorewinch
