#include <boost/test/unit_test.hpp>

#include "policy/slot_reservation.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t slots = 6;
constexpr std::uint32_t priority = 1;
constexpr auto start = instant(std::chrono::seconds(10));

/** Records \p count arrivals of \p row, spread evenly over three averaging times until \p end. */
void record_arrivals(slot_reservation& reservation, const std::string& row, unsigned per_second,
                     duration service_time, std::uint32_t row_priority = priority)
{
    const auto gap = duration(std::chrono::seconds(1)) / per_second;
    for (auto when = start - 3 * slot_reservation::averaging_time; when < start; when += gap) {
        reservation.on_arrival(row, row_priority, service_time, when);
    }
}

/** Returns how many requests of \p row may run at once while no other row's requests run. */
auto max_running(const std::shared_ptr<slot_reservation>& reservation, const std::string& row,
                 instant now = start) -> std::size_t
{
    std::vector<slot_use> uses;
    while (uses.size() < slots && reservation->admits(row, slots, now)) {
        uses.emplace_back(reservation, row);
    }
    return uses.size();
}

} // namespace

// Guards against long requests that hold all slots while the short calls of other targets need two.
BOOST_AUTO_TEST_CASE(long_requests_leave_the_slots_that_shorter_ones_need)
{
    const auto reservation = std::make_shared<slot_reservation>();
    record_arrivals(*reservation, "short", 100, milliseconds(20)); // 2 slots
    record_arrivals(*reservation, "long", 50, milliseconds(100));
    BOOST_TEST(max_running(reservation, "long") == slots - 2);
    BOOST_TEST(max_running(reservation, "short") == slots);
}

// Guards against slots that stay reserved for requests which no longer arrive.
BOOST_AUTO_TEST_CASE(a_reservation_ends_with_its_demand)
{
    const auto reservation = std::make_shared<slot_reservation>();
    record_arrivals(*reservation, "short", 100, milliseconds(20));
    record_arrivals(*reservation, "long", 50, milliseconds(100));
    const auto later = start + 3 * slot_reservation::averaging_time;
    BOOST_TEST(max_running(reservation, "long", later) == slots);
}

// Guards against a row that gives way to one of similar length, or to a less urgent one.
BOOST_AUTO_TEST_CASE(slots_are_reserved_only_for_much_shorter_and_no_less_urgent_requests)
{
    const auto reservation = std::make_shared<slot_reservation>();
    record_arrivals(*reservation, "similar", 50, milliseconds(50));
    record_arrivals(*reservation, "less_urgent", 100, milliseconds(20), priority + 1);
    record_arrivals(*reservation, "long", 50, milliseconds(100));
    BOOST_TEST(max_running(reservation, "long") == slots);
}

// Guards against long requests that are hardly served while short ones could use every slot.
BOOST_AUTO_TEST_CASE(long_requests_keep_half_of_the_slots)
{
    const auto reservation = std::make_shared<slot_reservation>();
    record_arrivals(*reservation, "short", 1'000, milliseconds(20)); // 20 slots
    record_arrivals(*reservation, "long", 50, milliseconds(100));
    BOOST_TEST(max_running(reservation, "long") == slots / 2);
}

// Guards against counts of running requests that stay behind and stop a row for good.
BOOST_AUTO_TEST_CASE(a_request_counts_as_running_until_its_use_of_the_slot_ends)
{
    const auto reservation = std::make_shared<slot_reservation>();
    record_arrivals(*reservation, "short", 250, milliseconds(20)); // 5 slots
    record_arrivals(*reservation, "long", 50, milliseconds(100));
    const slot_use first(reservation, "long");
    const slot_use second(reservation, "long");
    slot_use use(reservation, "long");
    auto moved = std::move(use);
    BOOST_TEST(!reservation->admits("long", slots, start));
    moved = slot_use();
    BOOST_TEST(reservation->admits("long", slots, start));
}
