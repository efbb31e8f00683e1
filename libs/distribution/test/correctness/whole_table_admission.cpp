#include <boost/test/unit_test.hpp>

#include "distribution/publisher.h"

using namespace sycamorewinch;

namespace {

/** A publisher with a table, and \p count subscribers that hold nothing. */
auto make_hub(std::size_t count) -> publisher
{
    publisher one;
    one.tick(instant{}, true);
    one.set_table(std::make_shared<const table>(
        make_table(1, {{.service_ = "dialer", .path_prefix_ = "/dialer"}})));
    for (subscriber_id id = 1; id <= count; ++id) {
        one.on_message(id, subscribe{"node", "zone-a", false, {}});
    }
    return one;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_so_many_whole_tables_are_on_their_way)
{
    auto one = make_hub(3 * max_whole_tables_on_their_way);
    BOOST_TEST(one.take_output().messages_.size() == max_whole_tables_on_their_way);
    one.on_message(1, progress_report{});
    const auto next = one.take_output().messages_;
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next.front().to_ == max_whole_tables_on_their_way + 1);
}

BOOST_AUTO_TEST_CASE(a_subscriber_that_left_gives_its_place_to_the_next)
{
    auto one = make_hub(2 * max_whole_tables_on_their_way);
    (void)one.take_output();
    one.on_subscriber_disconnected(max_whole_tables_on_their_way + 1); // it only waited
    BOOST_TEST(one.take_output().messages_.empty());
    one.on_subscriber_disconnected(2);
    const auto next = one.take_output().messages_;
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next.front().to_ == max_whole_tables_on_their_way + 2);
}

BOOST_AUTO_TEST_CASE(a_subscriber_that_never_answers_holds_its_place_for_a_while_only)
{
    auto one = make_hub(2 * max_whole_tables_on_their_way);
    (void)one.take_output();
    one.tick(instant{} + whole_table_timeout, true);
    BOOST_TEST(one.take_output().messages_.size() == max_whole_tables_on_their_way);
}
