// A request that waits for a slot of its target waits as long as it may.
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "request_path/local_exchange.h"

using namespace sycamorewinch;

namespace {

/** The whole budget may be spent waiting, since the target's service time is unknown. */
constexpr std::chrono::milliseconds latency_budget{500};
/** Requests start at even steps over half a second, since Qt rounds timers to parts of a second. */
constexpr unsigned request_count = 20;
constexpr std::chrono::milliseconds start_interval{25};

auto last_choice_request() -> exchange_request
{
    exchange_request request;
    request.head_.method_ = "GET";
    request.head_.path_ = "/x";
    request.head_.headers_ = {{"host", "a"}};
    request.service_ = "dialer";
    request.target_ = "d1";
    request.time_left_ = std::chrono::seconds(60);
    request.latency_budget_ = latency_budget;
    request.is_last_choice_ = true;
    return request;
}

/** A request, and how long it waited until it was refused. */
struct waiting_request {
    instant started_at_ = monotonic_now();
    std::optional<duration> waited_;
    exchange_controls controls_;

    waiting_request(node_state& node, target_connections& connections)
    {
        auto hooks = make_no_op_hooks();
        hooks.on_refused_ = [this](const refusal& refusal) {
            BOOST_TEST((refusal.reason_ == refusal_reason::target_full));
            waited_ = monotonic_now() - started_at_;
        };
        controls_ =
            start_local_exchange(node, connections, last_choice_request(), std::move(hooks));
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(no_request_is_refused_before_its_longest_wait)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, silent_target.port(), unrepeatable_row(), 1);
    auto& node = nodes.target_node().state_;
    target_connections connections;
    const auto running =
        start_local_exchange(node, connections, last_choice_request(), make_no_op_hooks());
    std::vector<std::unique_ptr<waiting_request>> requests;
    for (unsigned index = 0; index < request_count; ++index) {
        requests.push_back(std::make_unique<waiting_request>(node, connections));
        run_events(start_interval);
    }
    for (const auto& request : requests) {
        BOOST_TEST(wait_until([&] { return request->waited_.has_value(); }));
        BOOST_TEST(to_milliseconds(request->waited_.value_or(duration(0))) >=
                   latency_budget.count());
    }
    running.cancel_();
}
