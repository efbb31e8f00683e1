#include <boost/test/unit_test.hpp>

#include "request_path/waiting_line.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

} // namespace

BOOST_AUTO_TEST_CASE(the_most_urgent_goes_first_and_then_the_earliest)
{
    waiting_line line;
    std::string order;
    const auto start = [&order](char name) {
        return [&order, name] {
            order.push_back(name);
            return true;
        };
    };
    static_cast<void>(line.join({2}, start('a')));
    static_cast<void>(line.join({1}, start('b')));
    static_cast<void>(line.join({2}, start('c')));
    static_cast<void>(line.join({1, true}, start('e')));
    static_cast<void>(line.join({1}, start('d')));
    line.on_slot_free();
    BOOST_TEST(order == "bdeac");
    BOOST_TEST(line.size() == 0U);
}

BOOST_AUTO_TEST_CASE(who_cannot_start_keeps_its_place)
{
    waiting_line line;
    bool is_free = false;
    int started = 0;
    const auto start = [&] {
        started += is_free ? 1 : 0;
        return std::exchange(is_free, false);
    };
    static_cast<void>(line.join({1}, start));
    static_cast<void>(line.join({1}, start));
    line.on_slot_free();
    BOOST_TEST(started == 0);
    is_free = true;
    line.on_slot_free();
    BOOST_TEST(started == 1);
    BOOST_TEST(line.size() == 1U);
}

BOOST_AUTO_TEST_CASE(one_who_leaves_is_not_started)
{
    waiting_line line;
    const auto place = line.join({1}, [] {
        BOOST_ERROR("started after it left");
        return true;
    });
    line.leave(place);
    line.on_slot_free();
    BOOST_TEST(line.size() == 0U);
}

BOOST_AUTO_TEST_CASE(the_wait_follows_those_before_and_the_service_time)
{
    waiting_line line;
    BOOST_TEST(line.expected_wait({1}, 10).count() == 0); // nothing is known yet
    line.note_service_time("short", milliseconds(100));
    BOOST_TEST((line.expected_wait({1}, 10) == milliseconds(10)));
    static_cast<void>(line.join({1}, [] { return false; }));
    static_cast<void>(line.join({2}, [] { return false; }));
    BOOST_TEST((line.expected_wait({1}, 10) == milliseconds(20)));
    BOOST_TEST((line.expected_wait({2}, 10) == milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(nobody_waits_beyond_what_its_answer_is_worth)
{
    const milliseconds aim(300);
    BOOST_TEST((longest_wait(aim, milliseconds(80), false) == milliseconds(100)));
    BOOST_TEST((longest_wait(aim, milliseconds(200), false) == milliseconds(50)));
    BOOST_TEST((longest_wait(aim, milliseconds(400), false) == milliseconds(0)));
    BOOST_TEST((longest_wait(aim, milliseconds(80), true) == milliseconds(200)));
    BOOST_TEST((longest_wait(aim, milliseconds(400), true) ==
                milliseconds(37) + std::chrono::microseconds(500)));
}

BOOST_AUTO_TEST_CASE(the_service_time_is_known_by_row)
{
    waiting_line line;
    line.note_service_time("short", milliseconds(20));
    line.note_service_time("long", milliseconds(500));
    BOOST_TEST((line.service_time("short") == milliseconds(20)));
    BOOST_TEST((line.service_time("long") == milliseconds(500)));
    BOOST_TEST((line.service_time("other") == milliseconds(0)));
    BOOST_TEST((line.expected_wait({}, 1) == milliseconds(50))); // over all rows
}
