#include <boost/test/unit_test.hpp>

#include "distribution/publisher.h"

using namespace sycamorewinch;

namespace {

auto crash_of(const std::string& target) -> crash_record
{
    const auto head = hash_head("dialer", "POST", "/x", "");
    return {crash_event::crashed, head, make_fingerprint(head, "bad"), target};
}

/** Returns how many crash reports \p output holds for \p to. */
auto reports_for(const publisher_output& output, subscriber_id to) -> int
{
    int count = 0;
    for (const auto& message : output.messages_) {
        const auto decoded = decode_distribution_message(*message.bytes_);
        BOOST_REQUIRE(decoded.has_value());
        count += message.to_ == to && std::holds_alternative<crash_report>(*decoded) ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(news_of_a_crash_reaches_everybody_but_its_sender_once)
{
    publisher publisher;
    for (const subscriber_id id : {1, 2, 3}) {
        publisher.on_message(id, subscribe{"node-" + std::to_string(id), "zone-a", false, {}});
    }
    static_cast<void>(publisher.take_output());
    publisher.on_message(1, crash_report{{crash_of("dialer/d1")}});
    const auto first = publisher.take_output();
    BOOST_TEST(reports_for(first, 1) == 0);
    BOOST_TEST(reports_for(first, 2) == 1);
    BOOST_TEST(reports_for(first, 3) == 1);
    BOOST_TEST(first.crashes_.size() == 1);
    publisher.on_message(2, crash_report{{crash_of("dialer/d1")}});
    const auto again = publisher.take_output();
    BOOST_TEST(reports_for(again, 3) == 0);
    BOOST_TEST(again.crashes_.empty());
}

BOOST_AUTO_TEST_CASE(a_subscriber_that_joins_hears_of_earlier_crashes)
{
    publisher publisher;
    publisher.merge_crashes({crash_of("dialer/d1"), crash_of("dialer/d2")});
    publisher.on_message(1, subscribe{"node-1", "zone-a", false, {}});
    BOOST_TEST(reports_for(publisher.take_output(), 1) == 1);
}
