#include <boost/test/unit_test.hpp>

#include <memory>

#include "event_loop/deadline_timer.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds delay{5};
constexpr std::chrono::milliseconds several_delays{30};

/** A timer on a clock that stands still until it is set. */
struct fixture {
    fixture()
    {
        static_cast<void>(wait_until([] { return true; }));
    } // creates the event loop

    instant now_{};
    unsigned expired_ = 0;
    deadline_timer timer_{[this] { ++expired_; },
                          [this] {
                              return now_;
                          }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(deadline_timers, fixture)

BOOST_AUTO_TEST_CASE(a_wake_up_before_the_deadline_is_not_an_expiry)
{
    timer_.start(delay);
    now_ += delay - duration(1);
    run_events(several_delays);
    BOOST_TEST(expired_ == 0U);
    BOOST_TEST(timer_.is_active());
    now_ += duration(1);
    BOOST_TEST(wait_until([this] { return expired_ > 0; }));
}

BOOST_AUTO_TEST_CASE(a_timer_expires_once)
{
    timer_.start(delay);
    now_ += delay;
    BOOST_TEST(wait_until([this] { return expired_ > 0; }));
    run_events(several_delays);
    BOOST_TEST(expired_ == 1U);
    BOOST_TEST(!timer_.is_active());
}

BOOST_AUTO_TEST_CASE(a_deadline_in_the_past_expires_from_the_event_loop)
{
    now_ += delay;
    timer_.start_at(instant{});
    BOOST_TEST(expired_ == 0U);
    BOOST_TEST(wait_until([this] { return expired_ == 1; }));
}

BOOST_AUTO_TEST_CASE(a_stopped_timer_does_not_expire)
{
    timer_.start(delay);
    timer_.stop();
    now_ += delay;
    run_events(several_delays);
    BOOST_TEST(expired_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_later_start_replaces_an_earlier_one)
{
    timer_.start(delay);
    timer_.start(2 * delay);
    now_ += delay;
    run_events(several_delays);
    BOOST_TEST(expired_ == 0U);
}

BOOST_AUTO_TEST_CASE(the_function_may_destroy_its_timer)
{
    bool expired = false;
    std::unique_ptr<deadline_timer> timer;
    timer = std::make_unique<deadline_timer>([&] {
        timer.reset();
        expired = true;
    });
    timer->start(delay);
    BOOST_TEST(wait_until([&] { return expired; }));
}

BOOST_AUTO_TEST_SUITE_END()
