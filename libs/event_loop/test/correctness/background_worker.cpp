#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "event_loop/background_worker.h"
#include "standin/loopback_socket.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds several_turns{30};

struct fixture {
    fixture()
    {
        static_cast<void>(wait_until([] { return true; })); // creates the event loop
        worker_ = std::make_unique<background_worker>();
    }

    std::unique_ptr<background_worker> worker_;
    std::vector<int> done_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(work_in_the_background, fixture)

BOOST_AUTO_TEST_CASE(work_runs_in_another_thread_and_completes_in_this_one_in_order)
{
    const auto own_thread = std::this_thread::get_id();
    std::atomic<int> worked{0};
    std::atomic<bool> was_here{false};
    for (int number = 0; number < 3; ++number) {
        worker_->run(
            [&] {
                was_here = was_here || std::this_thread::get_id() == own_thread;
                ++worked;
            },
            [&, number] {
                BOOST_TEST((std::this_thread::get_id() == own_thread));
                BOOST_TEST(worked > number);
                done_.push_back(number);
            });
    }
    BOOST_TEST(done_.empty());
    BOOST_TEST(wait_until([this] { return done_.size() == 3; }));
    BOOST_TEST(done_ == (std::vector<int>{0, 1, 2}), boost::test_tools::per_element());
    BOOST_TEST(!was_here);
}

// Guards against an event loop that waits for a slow disk.
BOOST_AUTO_TEST_CASE(the_event_loop_goes_on_while_work_runs)
{
    std::atomic<bool> may_end{false};
    worker_->run(
        [&] {
            while (!may_end) {
                std::this_thread::yield();
            }
        },
        [this] { done_.push_back(1); });
    run_events(several_turns);
    BOOST_TEST(done_.empty());
    may_end = true;
    BOOST_TEST(wait_until([this] { return !done_.empty(); }));
}

BOOST_AUTO_TEST_CASE(nothing_completes_once_the_worker_is_destroyed)
{
    std::atomic<bool> has_begun{false};
    worker_->run([&] { has_begun = true; }, [this] { done_.push_back(1); });
    while (!has_begun) {
        std::this_thread::yield();
    }
    worker_.reset();
    run_events(several_turns);
    BOOST_TEST(done_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
