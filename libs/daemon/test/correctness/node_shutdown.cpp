// The order and the times of the steps of a node's shutdown. Lower bounds only: the machine may be
// busy.
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "daemon/node_shutdown.h"
#include "event_loop/deadline_timer.h"
#include "standin/captured_output.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

namespace {

/** A node that records when the steps of its shutdown are called. */
struct recorded_shutdown {
    explicit recorded_shutdown(node_shutdown_times times)
    {
        static_cast<void>(wait_until([] { return true; })); // creates the event loop
        shutdown_.emplace(times, make_hooks());
        shutdown_->start([this] { ended_ = time_since_start(); });
    }

    [[nodiscard]] auto time_since_start() const -> duration { return monotonic_now() - started_; }

    auto make_hooks() -> node_shutdown_hooks
    {
        return {[this] {
                    stopped_serving_ = time_since_start();
                    if (last_call_time_) {
                        last_call_timer_.start(*last_call_time_);
                    }
                },
                [this] {
                    cut_ = time_since_start();
                    has_calls_ = has_calls_ && !ends_cut_calls_;
                    return std::size_t{3};
                },
                [this] { return has_calls_; },
                [this] {
                    return has_unacknowledged_runs_;
                }};
    }

    [[nodiscard]] auto wait_for_end() const -> bool
    {
        return wait_until([this] { return ended_.has_value(); });
    }

    /** If set, the calls end by themselves this long after the node has stopped serving. */
    std::optional<duration> last_call_time_;
    deadline_timer last_call_timer_{[this] {
        has_calls_ = false;
    }};
    bool has_calls_ = false;
    bool ends_cut_calls_ = true;
    bool has_unacknowledged_runs_ = false;
    std::optional<duration> stopped_serving_;
    std::optional<duration> cut_;
    std::optional<duration> ended_;
    instant started_ = monotonic_now();
    std::optional<node_shutdown> shutdown_;
};

/** Qt lets timers of 2 s and more expire early by default. */
constexpr std::chrono::milliseconds long_notice{2'200};
/** Shutdowns start at even intervals over one second, since Qt rounds timers to parts of a second.
 */
constexpr unsigned staggered_shutdowns = 25;
constexpr std::chrono::milliseconds shutdown_interval{40};

} // namespace

BOOST_AUTO_TEST_CASE(a_node_without_calls_ends_after_its_leave_notice)
{
    constexpr std::chrono::milliseconds notice{50};
    const recorded_shutdown node({.leave_notice_ = notice, .grace_ = std::chrono::minutes(10)});
    BOOST_TEST(node.wait_for_end());
    BOOST_TEST((node.stopped_serving_ && *node.stopped_serving_ >= notice));
    BOOST_TEST(!node.cut_.has_value());
}

BOOST_AUTO_TEST_CASE(no_leave_notice_ends_before_its_time)
{
    std::vector<std::unique_ptr<recorded_shutdown>> nodes;
    for (unsigned index = 0; index < staggered_shutdowns; ++index) {
        nodes.push_back(
            std::make_unique<recorded_shutdown>(node_shutdown_times{.leave_notice_ = long_notice}));
        run_events(shutdown_interval);
    }
    for (const auto& node : nodes) {
        BOOST_TEST(node->wait_for_end());
        BOOST_TEST(to_milliseconds(node->stopped_serving_.value_or(duration(0))) >=
                   long_notice.count());
    }
}

BOOST_AUTO_TEST_CASE(a_node_without_a_limit_waits_for_its_calls)
{
    recorded_shutdown node({});
    node.has_calls_ = true;
    run_events(std::chrono::milliseconds(200));
    BOOST_TEST(!node.cut_.has_value());
    BOOST_TEST(!node.ended_.has_value());
    node.has_calls_ = false;
    BOOST_TEST(node.wait_for_end());
}

BOOST_AUTO_TEST_CASE(open_calls_are_cut_in_the_last_twelfth_of_a_short_grace_period)
{
    recorded_shutdown node({.grace_ = std::chrono::milliseconds(240)});
    node.has_calls_ = true;
    const auto output = capture_standard_output([&] { BOOST_TEST(node.wait_for_end()); });
    BOOST_TEST((node.cut_ && *node.cut_ >= std::chrono::milliseconds(220)));
    BOOST_TEST((node.stopped_serving_ && *node.stopped_serving_ < *node.cut_));
    BOOST_TEST(output.count("\"event\":\"shutdown_cut_calls\"") == 1);
    BOOST_TEST(output.contains("\"calls\":3"));
}

BOOST_AUTO_TEST_CASE(a_leave_notice_longer_than_the_grace_period_ends_when_calls_are_cut)
{
    recorded_shutdown node(
        {.leave_notice_ = std::chrono::minutes(10), .grace_ = std::chrono::milliseconds(120)});
    node.has_calls_ = true;
    BOOST_TEST(node.wait_for_end());
    BOOST_TEST((node.stopped_serving_ && node.cut_ && *node.stopped_serving_ <= *node.cut_));
}

// Guards against calls that are taken until just before they are cut.
BOOST_AUTO_TEST_CASE(a_call_taken_at_the_end_of_an_overlong_leave_notice_is_not_cut)
{
    recorded_shutdown node(
        {.leave_notice_ = std::chrono::minutes(10), .grace_ = std::chrono::seconds(4)});
    node.has_calls_ = true;
    node.last_call_time_ = std::chrono::milliseconds(100);
    BOOST_TEST(node.wait_for_end());
    BOOST_TEST(!node.cut_.has_value());
}

BOOST_AUTO_TEST_CASE(neither_calls_nor_the_run_record_keep_a_node_beyond_the_cut)
{
    recorded_shutdown node({.grace_ = std::chrono::milliseconds(120)});
    node.has_calls_ = true;
    node.ends_cut_calls_ = false;
    node.has_unacknowledged_runs_ = true;
    BOOST_TEST(node.wait_for_end());
    BOOST_TEST((node.cut_ && *node.ended_ >= *node.cut_));
}
