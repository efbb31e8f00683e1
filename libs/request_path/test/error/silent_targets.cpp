// Connections to a target that go silent are not used again.
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "request_path/target_connections.h"

using namespace sycamorewinch;

namespace {

auto quick_limits() -> http1_client_limits
{
    http1_client_limits limits;
    limits.stall_timeout_ = std::chrono::milliseconds(100);
    limits.silent_after_ = std::chrono::milliseconds(20);
    return limits;
}

auto get_request() -> message_head
{
    message_head head;
    head.method_ = "GET";
    head.path_ = "/x";
    head.headers_ = {{"host", "a"}};
    return head;
}

/** Runs one exchange to its end and gives the connection back. */
void run_exchange(target_connections& connections, const peer_address& address,
                  const std::shared_ptr<http1_client_connection>& connection)
{
    bool ended = false;
    client_exchange_hooks hooks;
    hooks.on_end_ = [&] {
        ended = true;
    };
    connection->start(get_request(), std::move(hooks));
    BOOST_TEST(wait_until([&] { return ended; }));
    connections.give_back(address, connection);
}

} // namespace

BOOST_AUTO_TEST_CASE(siblings_of_a_silent_connection_are_dropped)
{
    bool is_silent = false;
    const raw_server target([&](raw_socket& peer) {
        if (!is_silent) {
            peer.clear();
            peer.write(answer_with("done"));
        }
    });
    const peer_address address{"127.0.0.1", target.port()};
    target_connections connections(quick_limits());
    const auto first = connections.take(address, false);
    const auto second = connections.take(address, false);
    run_exchange(connections, address, first);
    run_exchange(connections, address, second);
    BOOST_TEST(connections.idle_count(address) == 2U);
    is_silent = true;
    const auto lost = connections.take(address, false);
    lost->start(get_request(), {});
    run_events(std::chrono::milliseconds(60));
    lost->cancel();
    BOOST_TEST(connections.idle_count(address) == 0U);
    BOOST_TEST(!lost->is_reusable());
}

BOOST_AUTO_TEST_CASE(an_answer_that_stalls_is_cut_short)
{
    const raw_server target(
        [](raw_socket& peer) { peer.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"); });
    target_connections connections(quick_limits());
    const auto connection = connections.take({"127.0.0.1", target.port()}, false);
    std::optional<exchange_failure> failure;
    client_exchange_hooks hooks;
    hooks.on_failed_ = [&](exchange_failure seen) {
        failure = seen;
    };
    connection->start(get_request(), std::move(hooks));
    BOOST_TEST(wait_until([&] { return failure.has_value(); }));
    BOOST_TEST((*failure == exchange_failure::cut_short));
}

BOOST_AUTO_TEST_CASE(a_connection_that_the_target_closed_is_not_reused)
{
    const raw_server target([&](raw_socket& peer) {
        peer.write(answer_with("done"));
        peer.close();
    });
    const peer_address address{"127.0.0.1", target.port()};
    target_connections connections;
    const auto first = connections.take(address, false);
    run_exchange(connections, address, first);
    BOOST_TEST(wait_until([&] { return target.connections().front()->is_closed(); }));
    BOOST_TEST((connections.take(address, false) != first));
}
