#include <boost/test/unit_test.hpp>

#include "distribution/publisher.h"

using namespace sycamorewinch;

namespace {

/** Returns a publisher with a table and \p count subscribers that hold no table. */
auto make_publisher(std::size_t count) -> publisher
{
    publisher test_publisher;
    test_publisher.tick(instant{}, true);
    test_publisher.set_table(std::make_shared<const table>(
        make_table(1, {{.service_ = "dialer", .path_prefix_ = "/dialer"}})));
    for (subscriber_id id = 1; id <= count; ++id) {
        test_publisher.on_message(id, subscribe{"node", "zone-a", false, {}});
    }
    return test_publisher;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_number_of_whole_tables_in_flight_is_limited)
{
    auto test_publisher = make_publisher(3 * max_whole_tables_in_flight);
    BOOST_TEST(test_publisher.take_output().messages_.size() == max_whole_tables_in_flight);
    test_publisher.on_message(1, progress_report{});
    const auto next = test_publisher.take_output().messages_;
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next.front().to_ == max_whole_tables_in_flight + 1);
}

BOOST_AUTO_TEST_CASE(a_disconnected_subscriber_frees_its_slot_for_the_next)
{
    auto test_publisher = make_publisher(2 * max_whole_tables_in_flight);
    (void)test_publisher.take_output();
    // This subscriber was still queued.
    test_publisher.on_subscriber_disconnected(max_whole_tables_in_flight + 1);
    BOOST_TEST(test_publisher.take_output().messages_.empty());
    test_publisher.on_subscriber_disconnected(2);
    const auto next = test_publisher.take_output().messages_;
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next.front().to_ == max_whole_tables_in_flight + 2);
}

BOOST_AUTO_TEST_CASE(a_whole_table_that_is_never_acknowledged_frees_its_slot_after_the_timeout)
{
    auto test_publisher = make_publisher(2 * max_whole_tables_in_flight);
    (void)test_publisher.take_output();
    test_publisher.tick(instant{} + whole_table_timeout, true);
    BOOST_TEST(test_publisher.take_output().messages_.size() == max_whole_tables_in_flight);
}
