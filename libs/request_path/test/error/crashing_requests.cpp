// A request that crashes its targets is refused; other requests with the same path are not.
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

auto response_to(const node_fixture& nodes, const std::string& bytes) -> std::string
{
    const auto caller = nodes.connect();
    caller->write(bytes);
    BOOST_TEST(wait_until(
        [&] { return is_complete_response(caller->received()) || caller->is_closed(); }));
    return caller->received();
}

/** Returns the records of the request post(body) after it has crashed \p targets targets. */
auto crashes_of(const std::string& body, std::size_t targets) -> crash_tracker
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

/** Returns a target that closes without a response on the body `bad` and responds to the body
 * `good`. \p delivered counts both. */
auto crashing_target(std::size_t& delivered) -> scripted_server
{
    return scripted_server([&delivered](loopback_socket& peer) {
        if (peer.received().ends_with("bad")) {
            ++delivered;
            peer.close();
        }
        else if (peer.received().ends_with("good")) {
            ++delivered;
            peer.write(make_response("fine"));
        }
    });
}

} // namespace

BOOST_DATA_TEST_CASE(a_request_that_crashed_three_targets_is_refused, both_paths, index)
{
    std::size_t delivered = 0;
    const auto target = crashing_target(delivered);
    node_fixture nodes(static_cast<call_path>(index), target.port());
    nodes.target_node().state_.publish_crashes(crashes_of("bad", max_crashed_targets).view());
    const auto refused = response_to(nodes, post("bad"));
    BOOST_TEST(refused.starts_with("HTTP/1.1 422"));
    BOOST_TEST(refused.find("request_crashes_targets") != std::string::npos);
    BOOST_TEST(delivered == 0);
    BOOST_TEST(response_to(nodes, post("good")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(delivered == 1);
}

BOOST_DATA_TEST_CASE(a_request_below_the_crash_limit_is_sent, both_paths, index)
{
    std::size_t delivered = 0;
    const auto target = crashing_target(delivered);
    node_fixture nodes(static_cast<call_path>(index), target.port());
    nodes.target_node().state_.publish_crashes(crashes_of("bad", max_crashed_targets - 1).view());
    BOOST_TEST(response_to(nodes, post("bad")).starts_with("HTTP/1.1 502"));
    BOOST_TEST(delivered == 1);
}

BOOST_DATA_TEST_CASE(crashes_and_later_responses_are_reported, both_paths, index)
{
    std::size_t delivered = 0;
    const auto target = crashing_target(delivered);
    node_fixture nodes(static_cast<call_path>(index), target.port());
    BOOST_TEST(response_to(nodes, post("bad")).starts_with("HTTP/1.1 502"));
    BOOST_TEST(nodes.target_node().crash_record_count(crash_event::crashed) == 1);
    BOOST_TEST(response_to(nodes, post("good")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(nodes.target_node().crash_record_count(crash_event::answered) ==
               0); // it was not suspected
    nodes.target_node().state_.publish_crashes(crashes_of("good", 1).view());
    BOOST_TEST(response_to(nodes, post("good")).starts_with("HTTP/1.1 200"));
    BOOST_TEST(nodes.target_node().crash_record_count(crash_event::answered) == 1);
}
