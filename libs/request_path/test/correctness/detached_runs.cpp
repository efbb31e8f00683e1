// A run under an idempotency key whose caller has disconnected keeps its time.
#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "request_path/local_exchange.h"

using namespace sycamorewinch;

namespace {

/** The shortest time that Qt would round for a single shot. */
constexpr std::chrono::milliseconds min_detached_time{2'000};
/** Runs start at even steps over half a second, since Qt rounds timers to parts of a second. */
constexpr std::size_t run_count = 20;
constexpr std::chrono::milliseconds start_interval{25};

auto keyed_request() -> exchange_request
{
    exchange_request request;
    request.head_.method_ = "POST";
    request.head_.path_ = "/x";
    request.head_.headers_ = {{"host", "a"}, {"idempotency-key", "k"}};
    request.service_ = "dialer";
    request.target_ = "d1";
    request.time_left_ = std::chrono::milliseconds(1'000);
    return request;
}

auto ignoring_hooks() -> exchange_hooks
{
    exchange_hooks hooks;
    hooks.on_refused_ = [](const refusal& refusal) {
        BOOST_ERROR("refused: " << describe(refusal.reason_).name_);
    };
    return hooks;
}

/** A run at a target that never answers, detached as soon as the target has its request. */
struct detached_run {
    instant detached_at_{};
    std::optional<duration> continued_for_;

    detached_run(node_state& node, target_connections& connections, const scripted_server& target)
    {
        const auto index = target.connections().size();
        auto controls = start_local_exchange(node, connections, keyed_request(), ignoring_hooks(),
                                             min_detached_time);
        BOOST_TEST(wait_until([&] {
            return target.connections().size() > index &&
                   target.connections()[index]->received().ends_with("\r\n\r\n");
        }));
        detached_at_ = monotonic_now();
        controls.cancel_();
    }

    /** Notes the time since the caller left if \p connection, which carries the run, is closed. */
    auto check_ended(const loopback_socket& connection) -> bool
    {
        if (!continued_for_ && connection.is_closed()) {
            continued_for_ = monotonic_now() - detached_at_;
        }
        return continued_for_.has_value();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(no_run_without_its_caller_is_cut_before_its_time)
{
    const scripted_server silent_target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, silent_target.port());
    target_connections connections;
    std::vector<detached_run> runs;
    runs.reserve(run_count);
    for (std::size_t index = 0; index < run_count; ++index) {
        runs.emplace_back(nodes.target_node().state_, connections, silent_target);
        run_events(start_interval);
    }
    BOOST_TEST(wait_until([&] {
        std::size_t ended = 0;
        for (std::size_t index = 0; index < run_count; ++index) {
            ended += runs[index].check_ended(*silent_target.connections()[index]) ? 1U : 0U;
        }
        return ended == run_count;
    }));
    for (const auto& run : runs) {
        BOOST_TEST(to_milliseconds(run.continued_for_.value_or(duration(0))) >=
                   min_detached_time.count());
    }
}
