// A response whose status is outside 100 to 599 is no response: callers get a 502 in its place.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

#include <fmt/core.h>

#include "../node_fixture.h"
#include "../scripted_node.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});
constexpr std::array invalid_statuses{"000", "001", "099", "101", "600", "700", "999"};
constexpr std::chrono::seconds step_timeout{20};

/** Returns the responses of a target after the head of its first one: a body of a stated length,
 * an empty one, or none. A valid response follows, so that the first one cannot be skipped. */
auto responses_with(const std::string& status) -> std::vector<std::string>
{
    const auto valid = make_response("valid");
    const auto line = fmt::format("HTTP/1.1 {} X\r\n", status);
    return {line + "content-length: 2\r\n\r\nab" + valid,
            line + "content-length: 0\r\n\r\n" + valid, line + "\r\n" + valid,
            line + "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"};
}

void send_request(loopback_socket& caller)
{
    caller.clear();
    caller.write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(
        wait_until([&] { return is_complete_response(caller.received()) || caller.is_closed(); },
                   step_timeout));
}

} // namespace

BOOST_DATA_TEST_CASE(a_target_s_response_with_an_invalid_status_becomes_a_502, both_paths, index)
{
    for (const std::string status : invalid_statuses) {
        for (const auto& response : responses_with(status)) {
            unsigned requests = 0;
            const scripted_server target([&](loopback_socket& peer) {
                if (peer.received().ends_with("\r\n\r\n")) {
                    peer.clear();
                    peer.write(++requests == 2 ? response : make_response("ok"));
                }
            });
            node_fixture nodes(static_cast<call_path>(index), target.port());
            const auto caller = nodes.connect(); // kept, as is the target's connection
            BOOST_TEST_CONTEXT(response)
            {
                send_request(*caller);
                BOOST_TEST(caller->received().ends_with("ok"));
                send_request(*caller);
                BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
                send_request(*caller);
                BOOST_TEST(caller->received().ends_with("ok"));
                BOOST_TEST(target.connections().size() == 2U); // the first one is not used again
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(another_node_s_response_with_an_invalid_status_becomes_a_502)
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        for (const bool has_body : {false, true}) {
            const scripted_node other([&](const node_message& message) {
                message.connection_.respond(message.stream_, {{":status", status}}, !has_body);
                if (has_body) {
                    message.connection_.write(message.stream_, "body", true);
                }
            });
            node_fixture nodes(call_path::local, 1);
            auto record = target_record();
            record.service_ = "dialer";
            record.target_ = "d1";
            record.node_address_ = other.address();
            record.slots_ = 1;
            nodes.entry_node().state_.publish_routes(route_table::create(
                std::make_shared<const table>(make_table(1, {unrepeatable_row()})), {record}));
            const auto caller = nodes.connect();
            BOOST_TEST_CONTEXT(status)
            {
                send_request(*caller);
                BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
            }
        }
    }
}

BOOST_DATA_TEST_CASE(responses_with_any_valid_final_status_are_passed_on, both_paths, index)
{
    for (const std::string status : {"200", "299", "302", "404", "451", "500", "599"}) {
        const scripted_server target([&](loopback_socket& peer) {
            if (peer.received().ends_with("\r\n\r\n")) {
                peer.clear();
                peer.write(fmt::format("HTTP/1.1 {} X\r\ncontent-length: 2\r\n\r\nok", status));
            }
        });
        node_fixture nodes(static_cast<call_path>(index), target.port());
        const auto caller = nodes.connect();
        send_request(*caller);
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 " + status));
    }
}
