// Delivery of complete calls over real sockets, from a caller through one or two nodes to a target.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

auto path_of(int index) -> call_path
{
    return static_cast<call_path>(index);
}

constexpr std::string_view get_request = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
constexpr std::string_view post_request =
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";

} // namespace

BOOST_DATA_TEST_CASE(a_post_to_a_target_that_closes_is_delivered_once, both_paths, index)
{
    unsigned delivered = 0;
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("hi")) {
            ++delivered;
            peer.close();
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.connect();
    caller->write(post_request);
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
    BOOST_TEST(caller->received().find("unknown") != std::string::npos);
    BOOST_TEST(delivered == 1U);
}

BOOST_DATA_TEST_CASE(a_post_on_a_reused_connection_is_delivered_once, both_paths, index)
{
    unsigned delivered = 0;
    const scripted_server target([&](loopback_socket& peer) {
        if (!peer.received().ends_with("hi")) {
            return;
        }
        peer.clear();
        if (++delivered == 1) {
            peer.write(make_response("first"));
        }
        else {
            peer.abort();
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.connect();
    caller->write(post_request);
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("first"); }));
    caller->clear();
    caller->write(post_request);
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
    BOOST_TEST(delivered == 2U);
    BOOST_TEST(target.connections().size() == 1U);
}

// Guards against an exchange that is cancelled when its stream ends with the response's head: the
// connection to the target is lost, and the response is not counted.
BOOST_DATA_TEST_CASE(a_response_without_a_body_leaves_the_connection_open, both_paths, index)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write("HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n");
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.connect();
    for (int call = 0; call < 3; ++call) {
        caller->clear();
        caller->write(get_request);
        BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
        BOOST_TEST(caller->received().starts_with("HTTP/1.1 500"));
    }
    BOOST_TEST(target.connections().size() == 1U);
    BOOST_TEST(nodes.target_node().state_.targets()->front().meter_->error_rate() > 0U);
}

BOOST_DATA_TEST_CASE(thirty_calls_are_in_flight_at_once, both_paths, index)
{
    constexpr std::size_t calls = 30;
    std::vector<loopback_socket*> waiting;
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            waiting.push_back(&peer);
        }
    });
    node_fixture nodes(path_of(index), target.port());
    std::vector<std::unique_ptr<loopback_socket>> callers;
    for (std::size_t number = 0; number < calls; ++number) {
        callers.push_back(nodes.connect());
        callers.back()->write(get_request);
    }
    BOOST_TEST(wait_until([&] { return waiting.size() == calls; }));
    for (auto* peer : waiting) {
        peer->write(make_response("done"));
    }
    for (const auto& caller : callers) {
        BOOST_TEST(wait_until([&] { return caller->received().ends_with("done"); }));
    }
}

BOOST_DATA_TEST_CASE(pipelined_requests_get_responses_in_order, both_paths, index)
{
    const scripted_server target([&](loopback_socket& peer) {
        if (!peer.received().ends_with("\r\n\r\n")) {
            return;
        }
        if (peer.received().starts_with("GET /slow")) {
            run_events(std::chrono::milliseconds(50));
            peer.clear();
            peer.write(make_response("slow"));
            return;
        }
        peer.clear();
        peer.write(make_response("quick"));
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.connect();
    caller->write("GET /slow HTTP/1.1\r\nhost: a\r\n\r\nGET /quick HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("quick"); }));
    BOOST_TEST(caller->received().find("slow") < caller->received().find("quick"));
}

BOOST_DATA_TEST_CASE(a_caller_that_disconnects_cancels_its_call_at_the_target, both_paths, index)
{
    unsigned requests = 0;
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n") && ++requests > 1) {
            peer.write(make_response("alive"));
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.connect();
    caller->write(get_request);
    BOOST_TEST(wait_until([&] { return requests == 1; }));
    caller->abort();
    BOOST_TEST(wait_until([&] { return target.connections().front()->is_closed(); }));
    BOOST_TEST(wait_until([&] { return nodes.entry_node().state_.calls_in_flight() == 0; }));
    const auto next = nodes.connect();
    next->write(get_request);
    BOOST_TEST(wait_until([&] { return next->received().ends_with("alive"); }));
}

BOOST_DATA_TEST_CASE(no_exchange_outlives_its_call, both_paths, index)
{
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write(make_response("done"));
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.connect();
    for (unsigned number = 0; number < 10; ++number) {
        caller->clear();
        caller->write(get_request);
        BOOST_TEST(wait_until([&] { return caller->received().ends_with("done"); }));
    }
    // Each exchange holds a reference to its target's admission, and so does the list of targets.
    const auto targets = nodes.target_node().state_.targets();
    BOOST_TEST(wait_until([&] { return targets->front().admission_.use_count() == 1; }));
}
