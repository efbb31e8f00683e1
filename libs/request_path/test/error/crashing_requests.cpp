// A request that ends the targets it is given to is stopped; others on the same path pass.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

auto post(const std::string& body) -> std::string
{
    return "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

auto answer_to(const node_fixture& nodes, const std::string& bytes) -> std::string
{
    const auto caller = nodes.call();
    caller->write(bytes);
    BOOST_TEST(
        wait_until([&] { return holds_whole_answer(caller->received()) || caller->is_closed(); }));
    return caller->received();
}

/** What is known of the request post(body) after it has ended \p targets targets. */
auto known_after(const std::string& body, std::size_t targets) -> crash_tracker
{
    crash_tracker records;
    const auto head = hash_head("dialer", "POST", "/x", "");
    for (std::size_t number = 0; number < targets; ++number) {
        records.merge({crash_event::crashed, head, make_fingerprint(head, body),
                       "dialer/" + std::to_string(number)},
                      instant());
    }
    return records;
}

/** A target that closes without an answer on the body `bad` and answers everything else. */
auto moody_target(std::size_t& delivered) -> raw_server
{
    return raw_server([&delivered](raw_socket& peer) {
        if (peer.received().ends_with("bad")) {
            ++delivered;
            peer.close();
        }
        else if (peer.received().ends_with("good")) {
            ++delivered;
            peer.write(answer_with("fine"));
        }
    });
}

} // namespace

BOOST_DATA_TEST_CASE(a_request_that_broke_three_targets_is_given_to_no_further_one, both_paths,
                     index)
{
    std::size_t delivered = 0;
    const auto target = moody_target(delivered);
    node_fixture nodes(static_cast<call_path>(index), target.port());
    nodes.back().state_.publish_crashes(known_after("bad", max_crashed_targets).view());
    const auto refused = answer_to(nodes, post("bad"));
    BOOST_TEST(refused.starts_with("HTTP/1.1 422"));
    BOOST_TEST(refused.find("request_crashes_targets") != std::string::npos);
    BOOST_TEST(delivered == 0);
    BOOST_TEST(answer_to(nodes, post("good")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(delivered == 1);
}

BOOST_DATA_TEST_CASE(a_request_below_the_cap_still_passes, both_paths, index)
{
    std::size_t delivered = 0;
    const auto target = moody_target(delivered);
    node_fixture nodes(static_cast<call_path>(index), target.port());
    nodes.back().state_.publish_crashes(known_after("bad", max_crashed_targets - 1).view());
    BOOST_TEST(answer_to(nodes, post("bad")).starts_with("HTTP/1.1 502"));
    BOOST_TEST(delivered == 1);
}

BOOST_DATA_TEST_CASE(a_broken_target_and_a_later_answer_are_told, both_paths, index)
{
    std::size_t delivered = 0;
    const auto target = moody_target(delivered);
    node_fixture nodes(static_cast<call_path>(index), target.port());
    BOOST_TEST(answer_to(nodes, post("bad")).starts_with("HTTP/1.1 502"));
    BOOST_TEST(nodes.back().news_of(crash_event::crashed) == 1);
    BOOST_TEST(answer_to(nodes, post("good")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(nodes.back().news_of(crash_event::answered) == 0); // nobody suspected it
    nodes.back().state_.publish_crashes(known_after("good", 1).view());
    BOOST_TEST(answer_to(nodes, post("good")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(nodes.back().news_of(crash_event::answered) == 1);
}
