// Links between replicas that start one after the other.
#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "daemon/replica_links.h"
#include "standin/raw_socket.h"
#include "transport/reuse_port_listener.h"

using namespace sycamorewinch;

namespace {

auto group_key() -> cluster_key
{
    return *cluster_key::create(std::string(32, 'k'));
}

auto address_of(std::uint16_t port) -> peer_address
{
    return {"127.0.0.1", port};
}

/** Returns hooks that count lost links and note a connection. */
auto counting_hooks(unsigned& lost, bool& connected) -> replica_link_hooks
{
    replica_link_hooks hooks;
    hooks.on_raft_ = [](const auto&) {
    };
    hooks.on_distribution_ = [](const auto&, const auto&) {
    };
    hooks.on_connected_ = [&connected](const auto&) {
        connected = true;
    };
    hooks.on_disconnected_ = [&lost](const auto&) {
        ++lost;
    };
    hooks.on_join_ = [](const auto&) {
    };
    hooks.on_run_message_ = [](const auto&, auto) {
    };
    return hooks;
}

} // namespace

// A dial to a replica that was down may wait long for a retransmission. Once that replica sends a
// message it is reachable, so the stalled dial must be replaced instead of timing out.
BOOST_AUTO_TEST_CASE(a_stalled_dial_is_replaced_once_the_replica_sends_a_message)
{
    const raw_server silent([](raw_socket&) {}); // accepts connections and never answers
    unsigned lost = 0;
    bool connected = false;
    replica_links first({{"a", {}}, {"b", address_of(silent.port())}}, group_key(),
                        counting_hooks(lost, connected));
    std::vector<std::shared_ptr<h2_connection>> connections;
    const auto listener = reuse_port_listener::listen(address_of(0), [&](auto socket) {
        connections.push_back(serve_peer(
            std::move(socket), group_key(),
            [&first](const auto& connection, stream_id stream, const auto&, bool) {
                return first.accept(connection, stream);
            },
            [](connection_end) {}));
    });
    BOOST_REQUIRE(listener.has_value());
    first.start("a");
    BOOST_TEST(wait_until([&] { return silent.connections().size() == 1; }));
    run_events(std::chrono::milliseconds(150));

    unsigned lost_by_second = 0;
    bool second_connected = false;
    replica_links second({{"a", address_of((*listener)->port())}, {"b", {}}}, group_key(),
                         counting_hooks(lost_by_second, second_connected));
    second.start("b");
    BOOST_TEST(wait_until([&] { return second_connected; }));
    second.send("a", currency_request{1});
    BOOST_TEST(wait_until([&] { return silent.connections().size() == 2; }));
    BOOST_TEST(lost == 0U); // the first dial was replaced before it timed out
    BOOST_TEST(!connected);
}
