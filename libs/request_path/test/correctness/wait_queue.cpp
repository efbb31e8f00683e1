#include <boost/test/unit_test.hpp>

#include "request_path/wait_queue.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

} // namespace

BOOST_AUTO_TEST_CASE(requests_start_in_order_of_rank_then_arrival)
{
    wait_queue queue;
    std::string order;
    const auto start = [&order](char name) {
        return [&order, name] {
            order.push_back(name);
            return true;
        };
    };
    static_cast<void>(queue.enqueue({2}, {}, start('a')));
    static_cast<void>(queue.enqueue({1}, {}, start('b')));
    static_cast<void>(queue.enqueue({2}, {}, start('c')));
    static_cast<void>(queue.enqueue({1, 0, true}, {}, start('e')));
    static_cast<void>(queue.enqueue({1}, {}, start('d')));
    queue.start_waiting();
    BOOST_TEST(order == "bdeac");
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_start_keeps_its_position)
{
    wait_queue queue;
    bool is_free = false;
    int started = 0;
    const auto start = [&] {
        started += is_free ? 1 : 0;
        return std::exchange(is_free, false);
    };
    static_cast<void>(queue.enqueue({1}, {}, start));
    static_cast<void>(queue.enqueue({1}, {}, start));
    queue.start_waiting();
    BOOST_TEST(started == 0);
    is_free = true;
    queue.start_waiting();
    BOOST_TEST(started == 1);
    BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_request_is_not_started)
{
    wait_queue queue;
    const auto position = queue.enqueue({1}, {}, [] {
        BOOST_ERROR("started after it left");
        return true;
    });
    queue.remove(position);
    queue.start_waiting();
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(expected_wait_follows_requests_ahead_and_service_time)
{
    wait_queue queue;
    BOOST_TEST(queue.expected_wait({1}, 10).count() == 0); // no service time is known yet
    queue.record_service_time("short", milliseconds(100));
    BOOST_TEST((queue.expected_wait({1}, 10) == milliseconds(10)));
    static_cast<void>(queue.enqueue({1}, milliseconds(100), [] { return false; }));
    static_cast<void>(queue.enqueue({2}, milliseconds(300), [] { return false; }));
    BOOST_TEST((queue.expected_wait({1}, 10) == milliseconds(20)));
    BOOST_TEST((queue.expected_wait({2}, 10) == milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(equal_priorities_start_by_the_latest_start_that_meets_the_target_latency)
{
    const instant now(std::chrono::seconds(1));
    const auto rank = [now](int latency_budget, int service_time) {
        return make_queue_rank(1, milliseconds(latency_budget), milliseconds(service_time), now);
    };
    BOOST_TEST((rank(100, 20) < rank(300, 80))); // 80 ms to spare before 220 ms
    BOOST_TEST((rank(150, 80) < rank(300, 80))); // a caller that returns before a new one
    BOOST_TEST((rank(300, 80) < rank(50, 80)));  // a late one comes last
    BOOST_TEST((rank(50, 80) == rank(40, 80)));  // late ones start by arrival
}

BOOST_AUTO_TEST_CASE(max_wait_is_bounded_by_the_latency_budget)
{
    const milliseconds budget(300);
    BOOST_TEST((max_wait(budget, milliseconds(80), false) == milliseconds(100)));
    BOOST_TEST((max_wait(budget, milliseconds(200), false) == milliseconds(50)));
    BOOST_TEST((max_wait(budget, milliseconds(400), false) == milliseconds(0)));
    BOOST_TEST((max_wait(budget, milliseconds(80), true) == milliseconds(200)));
    BOOST_TEST((max_wait(budget, milliseconds(400), true) ==
                milliseconds(37) + std::chrono::microseconds(500)));
}

BOOST_AUTO_TEST_CASE(service_times_are_kept_by_row)
{
    wait_queue queue;
    queue.record_service_time("short", milliseconds(20));
    queue.record_service_time("long", milliseconds(500));
    BOOST_TEST((queue.service_time("short") == milliseconds(20)));
    BOOST_TEST((queue.service_time("long") == milliseconds(500)));
    BOOST_TEST((queue.service_time("other") == milliseconds(0)));
    BOOST_TEST((queue.expected_wait({}, 1) == milliseconds(50))); // uses the average over all rows
}

// Guards against waits after which the target cannot answer in time, or the refusal arrives late.
BOOST_AUTO_TEST_CASE(a_wait_leaves_time_for_the_service_and_for_the_refusal)
{
    BOOST_TEST((max_wait_before_deadline(milliseconds(300), milliseconds(80), milliseconds(20)) ==
                milliseconds(200)));
    BOOST_TEST((max_wait_before_deadline(milliseconds(90), milliseconds(80), milliseconds(20)) ==
                duration(0)));
}
