// Connections to a target that stop responding are not reused.
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "request_path/target_connections.h"

using namespace sycamorewinch;

namespace {

auto short_timeouts() -> http1_client_limits
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

/** Runs one exchange to its end and returns the connection to the pool. */
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
    connections.release(address, connection);
}

} // namespace

BOOST_AUTO_TEST_CASE(other_idle_connections_to_a_silent_target_are_dropped)
{
    bool is_silent = false;
    const scripted_server target([&](loopback_socket& peer) {
        if (!is_silent) {
            peer.clear();
            peer.write(make_response("done"));
        }
    });
    const peer_address address{"127.0.0.1", target.port()};
    target_connections connections(short_timeouts());
    const auto first = connections.acquire(address, false);
    const auto second = connections.acquire(address, false);
    run_exchange(connections, address, first);
    run_exchange(connections, address, second);
    BOOST_TEST(connections.idle_count(address) == 2U);
    is_silent = true;
    const auto silent = connections.acquire(address, false);
    silent->start(get_request(), {});
    run_events(std::chrono::milliseconds(60));
    silent->cancel();
    BOOST_TEST(connections.idle_count(address) == 0U);
    BOOST_TEST(!silent->is_reusable());
}

BOOST_AUTO_TEST_CASE(a_stalled_response_fails_as_cut_short)
{
    const scripted_server target([](loopback_socket& peer) {
        peer.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    });
    target_connections connections(short_timeouts());
    const auto connection = connections.acquire({"127.0.0.1", target.port()}, false);
    std::optional<exchange_failure> failure;
    client_exchange_hooks hooks;
    hooks.on_failed_ = [&](exchange_failure seen) {
        failure = seen;
    };
    connection->start(get_request(), std::move(hooks));
    BOOST_TEST(wait_until([&] { return failure.has_value(); }));
    BOOST_TEST((*failure == exchange_failure::truncated));
}

BOOST_AUTO_TEST_CASE(a_connection_that_the_target_closed_is_not_reused)
{
    const scripted_server target([&](loopback_socket& peer) {
        peer.write(make_response("done"));
        peer.close();
    });
    const peer_address address{"127.0.0.1", target.port()};
    target_connections connections;
    const auto first = connections.acquire(address, false);
    run_exchange(connections, address, first);
    BOOST_TEST(wait_until([&] { return target.connections().front()->is_closed(); }));
    BOOST_TEST((connections.acquire(address, false) != first));
}
