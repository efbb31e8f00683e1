// Tests that replicas connect when one starts after the other.
#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "daemon/replica_links.h"
#include "standin/loopback_socket.h"
#include "transport/reuse_port_listener.h"

using namespace sycamorewinch;

namespace {

auto test_cluster_key() -> cluster_key
{
    return *cluster_key::create(std::string(32, 'k'));
}

auto address_of(std::uint16_t port) -> peer_address
{
    return {"127.0.0.1", port};
}

/** Returns hooks that count ended or failed connections in \p disconnections and set \p connected
 * when connected. */
auto counting_hooks(unsigned& disconnections, bool& connected) -> replica_link_hooks
{
    replica_link_hooks hooks;
    hooks.on_raft_ = [](const auto&) {
    };
    hooks.on_distribution_ = [](const auto&, const auto&) {
    };
    hooks.on_connected_ = [&connected](const auto&) {
        connected = true;
    };
    hooks.on_disconnected_ = [&disconnections](const auto&) {
        ++disconnections;
    };
    hooks.on_join_ = [](const auto&) {
    };
    hooks.on_leave_ = [](const auto&) {
    };
    hooks.on_leave_granted_ = [] {
    };
    hooks.on_run_message_ = [](const auto&, auto) {
    };
    return hooks;
}

} // namespace

// A connection attempt to a replica that was down may wait seconds until TCP retransmits its SYN. A
// message received from that replica shows that it is up, so the stalled attempt must be replaced
// before it times out. Here a server that never answers makes the attempt of "a" to "b" stall.
BOOST_AUTO_TEST_CASE(a_stalled_connection_attempt_is_replaced_once_the_replica_sends_a_message)
{
    const scripted_server silent_server(
        [](loopback_socket&) {}); // accepts connections and never answers
    unsigned disconnections_of_a = 0;
    bool a_is_connected = false;
    replica_links links_of_a({{"a", {}}, {"b", address_of(silent_server.port())}},
                             test_cluster_key(),
                             counting_hooks(disconnections_of_a, a_is_connected));
    std::vector<std::shared_ptr<h2_connection>> connections;
    const auto listener = reuse_port_listener::listen(address_of(0), [&](auto socket) {
        connections.push_back(serve_peer(
            std::move(socket), test_cluster_key(),
            [&links_of_a](const auto& connection, stream_id stream, const auto&, bool) {
                return links_of_a.accept(connection, stream);
            },
            [](connection_end_reason) {}));
    });
    BOOST_REQUIRE(listener.has_value());
    links_of_a.start(/*self=*/"a");
    BOOST_TEST(wait_until([&] { return silent_server.connections().size() == 1; }));
    run_events(std::chrono::milliseconds(150)); // longer than stalled_dial_threshold

    unsigned disconnections_of_b = 0;
    bool b_is_connected = false;
    replica_links links_of_b({{"a", address_of((*listener)->port())}, {"b", {}}},
                             test_cluster_key(),
                             counting_hooks(disconnections_of_b, b_is_connected));
    links_of_b.start(/*self=*/"b");
    BOOST_TEST(wait_until([&] { return b_is_connected; }));
    links_of_b.send("a", currency_request{1});
    BOOST_TEST(wait_until([&] { return silent_server.connections().size() == 2; }));
    BOOST_TEST(disconnections_of_a == 0U); // the stalled attempt was replaced and did not time out
    BOOST_TEST(!a_is_connected);
}
