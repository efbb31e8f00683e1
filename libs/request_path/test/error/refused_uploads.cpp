// Uploads that end early give back what they hold at both nodes.
#include <boost/test/unit_test.hpp>

#include <fmt/core.h>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr std::size_t body_bytes = 64U * 1024;

constexpr std::chrono::seconds step_timeout{20};

auto upload_head() -> std::string
{
    return fmt::format("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", body_bytes);
}

auto calls_in_flight(node_fixture& nodes) -> std::int64_t
{
    return nodes.entry_node().state_.calls_in_flight() +
           nodes.target_node().state_.calls_in_flight();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_refused_upload_that_stops_short_leaves_no_call_at_either_node)
{
    const scripted_server target([](loopback_socket&) {});
    node_fixture nodes(call_path::through_peer, target.port(), unrepeatable_row(), 1);
    const auto first = nodes.connect(); // occupies the only slot
    first->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return target.connections().size() == 1; }));
    const auto running = calls_in_flight(nodes);
    const auto caller = nodes.connect();
    caller->write(fmt::format("POST /x HTTP/1.1\r\nhost: a\r\nsycamorewinch-deadline-ms: 300\r\n"
                              "content-length: {}\r\n\r\n{}",
                              body_bytes, std::string(body_bytes - 1, 'b')));
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(
        wait_until([&] { return calls_in_flight(nodes) == running; }, std::chrono::seconds(20)));
}

BOOST_AUTO_TEST_CASE(an_upload_is_served_after_more_refused_ones_than_a_link_has_streams)
{
    constexpr unsigned refused_uploads = 1'100;
    constexpr unsigned callers_in_round = 100;
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("b")) {
            peer.write(make_response("stored"));
        }
    });
    node_fixture nodes(call_path::through_peer, target.port(), unrepeatable_row(), 1);
    const auto first = nodes.connect(); // occupies the only slot
    first->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_REQUIRE(wait_until([&] { return target.connections().size() == 1; }, step_timeout));
    for (unsigned round = 0; round < refused_uploads / callers_in_round; ++round) {
        std::vector<std::unique_ptr<loopback_socket>> callers;
        for (unsigned index = 0; index < callers_in_round; ++index) {
            callers.push_back(nodes.connect());
            callers.back()->write(upload_head() + "b");
        }
        for (const auto& caller : callers) {
            BOOST_REQUIRE(
                wait_until([&] { return is_complete_response(caller->received()); }, step_timeout));
        }
    }
    first->abort();
    const auto caller = nodes.connect();
    caller->write(upload_head() + std::string(body_bytes, 'b'));
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("stored"); }, step_timeout));
}
