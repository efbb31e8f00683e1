#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "event_loop/call_after.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds short_delay{5};
constexpr std::chrono::milliseconds several_delays{30};

struct fixture {
    fixture()
    {
        static_cast<void>(wait_until([] { return true; })); // creates the event loop
    }

    std::unique_ptr<QObject> context_ = std::make_unique<QObject>();
    unsigned calls_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(calls_after_a_delay, fixture)

BOOST_AUTO_TEST_CASE(the_function_is_called_once)
{
    call_after(short_delay, *context_, [this] { ++calls_; });
    BOOST_TEST(calls_ == 0U);
    BOOST_TEST(wait_until([this] { return calls_ > 0; }));
    run_events(several_delays);
    BOOST_TEST(calls_ == 1U);
    BOOST_TEST(context_->children().isEmpty());
}

BOOST_AUTO_TEST_CASE(the_function_is_not_called_once_its_context_is_destroyed)
{
    call_after(short_delay, *context_, [this] { ++calls_; });
    context_.reset();
    run_events(several_delays);
    BOOST_TEST(calls_ == 0U);
}

BOOST_AUTO_TEST_CASE(the_function_may_destroy_its_context)
{
    call_after(short_delay, *context_, [this] {
        context_.reset();
        ++calls_;
    });
    BOOST_TEST(wait_until([this] { return calls_ > 0; }));
}

// QTimer::singleShot() is coarse from this delay on, and rounds to parts of a second.
BOOST_AUTO_TEST_CASE(no_call_comes_before_its_delay_has_passed)
{
    constexpr std::chrono::milliseconds delay{2'000};
    constexpr std::size_t call_count = 20;
    constexpr std::chrono::milliseconds interval{25};
    std::vector<duration> waits;
    for (std::size_t index = 0; index < call_count; ++index) {
        call_after(delay, *context_, [&waits, started_at = monotonic_now()] {
            waits.push_back(monotonic_now() - started_at);
        });
        run_events(interval);
    }
    BOOST_TEST(wait_until([&] { return waits.size() == call_count; }));
    BOOST_TEST(std::ranges::min(waits).count() >= duration(delay).count());
}

BOOST_AUTO_TEST_SUITE_END()
