// Prints the latency that nodes add to a call, and the throughput of nodes. Checks only that each
// call succeeds.
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>

#include <fmt/core.h>

#include "../node_fixture.h"
#include "base/time.h"
#include "standin/added_latency.h"
#include "standin/load_generator.h"
#include "standin/standin_target.h"

using namespace sycamorewinch;

namespace {

/** Returns the number of calls; SYCAMOREWINCH_CALLS overrides the short default for tests. */
auto call_count() -> std::uint64_t
{
    const auto* text = std::getenv("SYCAMOREWINCH_CALLS");
    return text == nullptr ? 200 : std::stoull(text);
}

constexpr double calls_per_second = 165;
constexpr double microseconds = 1e6;

void print(std::string_view name, const latency_sample& sample)
{
    fmt::print("{}: p50 {:.0f} us, p99 {:.0f} us, p99.9 {:.0f} us\n", name,
               microseconds * sample.at(0.5), microseconds * sample.at(0.99),
               microseconds * sample.at(0.999));
}

void measure_latency(call_path path, std::string_view name)
{
    (void)wait_until([] { return true; });
    const auto target = standin_target::start({"dialer", "d1", {"127.0.0.1", 0}});
    node_fixture nodes(path, (*target)->port());
    latency_plan plan;
    plan.direct_ = {"127.0.0.1", (*target)->port()};
    plan.through_ = {"127.0.0.1", nodes.caller_port()};
    plan.calls_ = call_count();
    plan.per_second_ = calls_per_second;
    const auto seen = measure_added_latency(plan);
    print(fmt::format("{} direct", name), seen.direct_);
    print(fmt::format("{} through", name), seen.through_);
    BOOST_TEST(seen.direct_.failed_ + seen.through_.failed_ == 0U);
}

/** Makes calls with a concurrency of 32, as fast as they are answered, and prints the rate. */
void measure_throughput(call_path path, std::string_view name)
{
    (void)wait_until([] { return true; });
    const auto target = standin_target::start({"dialer", "d1", {"127.0.0.1", 0}});
    node_fixture nodes(path, (*target)->port());
    load_options options;
    options.nodes_ = {{"127.0.0.1", nodes.caller_port()}};
    options.calls_ = 10 * call_count();
    options.concurrency_ = 32;
    load_result outcome;
    bool done = false;
    const auto started = monotonic_now();
    const auto run = generate_load(options, [&](const auto& result) {
        outcome = result;
        done = true;
    });
    BOOST_TEST(wait_until([&] { return done; }));
    const auto elapsed = to_seconds(monotonic_now() - started);
    fmt::print("{} most: {:.0f} calls/s, p50 {:.0f} us, p99 {:.0f} us\n", name,
               static_cast<double>(options.calls_) / elapsed,
               microseconds * quantile_of(outcome.seconds_, 0.5),
               microseconds * quantile_of(outcome.seconds_, 0.99));
    BOOST_TEST(outcome.by_status_[200] == options.calls_);
}

} // namespace

BOOST_AUTO_TEST_CASE(latency_through_one_node)
{
    measure_latency(call_path::local, "one node");
}

BOOST_AUTO_TEST_CASE(latency_through_two_nodes)
{
    measure_latency(call_path::through_peer, "two nodes");
}

BOOST_AUTO_TEST_CASE(throughput_of_one_node)
{
    measure_throughput(call_path::local, "one node");
}

BOOST_AUTO_TEST_CASE(throughput_of_two_nodes)
{
    measure_throughput(call_path::through_peer, "two nodes");
}
