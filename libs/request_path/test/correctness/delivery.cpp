// What a caller, a node and a target do with whole calls over real sockets.
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
    const raw_server target([&](raw_socket& peer) {
        if (peer.received().ends_with("hi")) {
            ++delivered;
            peer.close();
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.call();
    caller->write(post_request);
    BOOST_TEST(wait_until([&] { return holds_whole_answer(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
    BOOST_TEST(caller->received().find("unknown") != std::string::npos);
    BOOST_TEST(delivered == 1U);
}

BOOST_DATA_TEST_CASE(a_post_on_a_reused_connection_is_delivered_once, both_paths, index)
{
    unsigned delivered = 0;
    const raw_server target([&](raw_socket& peer) {
        if (!peer.received().ends_with("hi")) {
            return;
        }
        peer.clear();
        if (++delivered == 1) {
            peer.write(answer_with("first"));
        }
        else {
            peer.abort();
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.call();
    caller->write(post_request);
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("first"); }));
    caller->clear();
    caller->write(post_request);
    BOOST_TEST(wait_until([&] { return holds_whole_answer(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
    BOOST_TEST(delivered == 2U);
    BOOST_TEST(target.connections().size() == 1U);
}

BOOST_DATA_TEST_CASE(thirty_calls_are_in_flight_at_once, both_paths, index)
{
    constexpr std::size_t calls = 30;
    std::vector<raw_socket*> waiting;
    const raw_server target([&](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            waiting.push_back(&peer);
        }
    });
    node_fixture nodes(path_of(index), target.port());
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (std::size_t number = 0; number < calls; ++number) {
        callers.push_back(nodes.call());
        callers.back()->write(get_request);
    }
    BOOST_TEST(wait_until([&] { return waiting.size() == calls; }));
    for (auto* peer : waiting) {
        peer->write(answer_with("done"));
    }
    for (const auto& caller : callers) {
        BOOST_TEST(wait_until([&] { return caller->received().ends_with("done"); }));
    }
}

BOOST_DATA_TEST_CASE(pipelined_requests_are_answered_in_order, both_paths, index)
{
    const raw_server target([&](raw_socket& peer) {
        if (!peer.received().ends_with("\r\n\r\n")) {
            return;
        }
        if (peer.received().starts_with("GET /slow")) {
            run_events(std::chrono::milliseconds(50));
            peer.clear();
            peer.write(answer_with("slow"));
            return;
        }
        peer.clear();
        peer.write(answer_with("quick"));
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.call();
    caller->write("GET /slow HTTP/1.1\r\nhost: a\r\n\r\nGET /quick HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("quick"); }));
    BOOST_TEST(caller->received().find("slow") < caller->received().find("quick"));
}

BOOST_DATA_TEST_CASE(a_caller_that_leaves_cancels_its_call_at_the_target, both_paths, index)
{
    unsigned asked = 0;
    const raw_server target([&](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n") && ++asked > 1) {
            peer.write(answer_with("alive"));
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.call();
    caller->write(get_request);
    BOOST_TEST(wait_until([&] { return asked == 1; }));
    caller->abort();
    BOOST_TEST(wait_until([&] { return target.connections().front()->is_closed(); }));
    BOOST_TEST(wait_until([&] { return nodes.front().state_.calls_in_flight() == 0; }));
    const auto next = nodes.call();
    next->write(get_request);
    BOOST_TEST(wait_until([&] { return next->received().ends_with("alive"); }));
}

BOOST_DATA_TEST_CASE(nothing_of_a_call_outlives_it, both_paths, index)
{
    const raw_server target([&](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write(answer_with("done"));
        }
    });
    node_fixture nodes(path_of(index), target.port());
    const auto caller = nodes.call();
    for (unsigned number = 0; number < 10; ++number) {
        caller->clear();
        caller->write(get_request);
        BOOST_TEST(wait_until([&] { return caller->received().ends_with("done"); }));
    }
    // Each exchange holds its target's admission; the list of targets does too.
    const auto targets = nodes.back().state_.targets();
    BOOST_TEST(wait_until([&] { return targets->front().admission_.use_count() == 1; }));
}
