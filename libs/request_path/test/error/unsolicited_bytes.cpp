// Bytes that a target sends on a connection without a request belong to no response.
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"
#include "request_path/target_connections.h"

using namespace sycamorewinch;

namespace {

auto get_request() -> message_head
{
    message_head head;
    head.method_ = "GET";
    head.path_ = "/x";
    head.headers_ = {{"host", "a"}};
    return head;
}

/** Runs one exchange to its end, with reading paused at the first body bytes if \p pauses; returns
 * the body. */
auto body_of_exchange(http1_client_connection& connection, bool pauses) -> std::string
{
    std::string body;
    bool has_ended = false;
    client_exchange_hooks hooks;
    hooks.on_body_ = [&](std::string_view bytes) {
        body += bytes;
        connection.pause_reading(pauses);
    };
    hooks.on_end_ = [&] {
        has_ended = true;
    };
    connection.start(get_request(), std::move(hooks));
    BOOST_TEST(wait_until([&] { return has_ended; }));
    return body;
}

} // namespace

BOOST_AUTO_TEST_CASE(unsolicited_bytes_close_a_connection_whose_reading_was_paused_at_the_end)
{
    const scripted_server target([](loopback_socket& peer) { peer.write(make_response("done")); });
    const peer_address address{"127.0.0.1", target.port()};
    target_connections connections;
    const auto connection = connections.acquire(address, false);
    BOOST_TEST(body_of_exchange(*connection, true) == "done");
    connections.release(address, connection);
    BOOST_TEST(connections.idle_count(address) == 1U);
    auto& peer = *target.connections().front();
    peer.write(make_response("unsolicited"));
    BOOST_TEST(wait_until([&] { return peer.is_closed(); }, std::chrono::seconds(20)));
    BOOST_TEST(!connection->is_reusable());
    const auto next = connections.acquire(address, false);
    BOOST_TEST((next != connection));
    BOOST_TEST(body_of_exchange(*next, false) == "done");
}
