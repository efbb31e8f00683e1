// Calls that a target does not answer end at their row's timeout, and not before it.
#include <algorithm>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds call_timeout{1'500};
/** Calls start at even intervals over one second, since Qt rounds timers to parts of a second. All
 * of them are in flight when the last one starts. */
constexpr unsigned call_count = 25;
constexpr std::chrono::milliseconds call_interval{40};
constexpr std::chrono::milliseconds shutdown_grace{200};

/** One call, and how long its caller waited for the response. */
struct timed_call {
    instant sent_at_ = monotonic_now();
    std::optional<duration> waited_;
    std::unique_ptr<loopback_socket> caller_;

    explicit timed_call(std::uint16_t port)
        : caller_(loopback_socket::dial(port, [this](loopback_socket& peer) {
              if (!waited_ && is_complete_response(peer.received())) {
                  waited_ = monotonic_now() - sent_at_;
              }
          }))
    {
        caller_->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    }
};

/** Starts calls to a target that never answers, shuts their node down, and returns the calls once
 * all of them have ended. */
auto run_unanswered_calls(call_path path) -> std::vector<std::unique_ptr<timed_call>>
{
    const scripted_server silent_target([](loopback_socket&) {});
    auto row = unrepeatable_row();
    row.timeout_ = call_timeout;
    node_fixture nodes(path, silent_target.port(), row);
    std::vector<std::unique_ptr<timed_call>> calls;
    for (unsigned index = 0; index < call_count; ++index) {
        calls.push_back(std::make_unique<timed_call>(nodes.caller_port()));
        run_events(call_interval);
    }
    nodes.entry_node().state_.begin_shutdown();
    nodes.entry_node().worker_->begin_shutdown(shutdown_grace);
    BOOST_TEST(wait_until([&] {
        return std::ranges::all_of(calls,
                                   [](const auto& call) { return call->waited_.has_value(); });
    }));
    return calls;
}

void check_no_early_end(call_path path)
{
    for (const auto& call : run_unanswered_calls(path)) {
        BOOST_TEST(call->caller_->received().starts_with("HTTP/1.1 504 "));
        BOOST_TEST(to_milliseconds(call->waited_.value_or(duration(0))) >= call_timeout.count());
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(no_call_in_flight_at_shutdown_is_given_up_before_its_timeout)
{
    check_no_early_end(call_path::local);
}

BOOST_AUTO_TEST_CASE(no_call_through_a_peer_is_given_up_before_its_timeout_at_shutdown)
{
    check_no_early_end(call_path::through_peer);
}
