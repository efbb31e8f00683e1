// Links between replicas that come up one after the other.
#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "daemon/replica_links.h"
#include "standin/raw_socket.h"
#include "transport/reuse_port_listener.h"

using namespace sycamorewinch;

namespace {

auto key_of_group() -> cluster_key
{
    return *cluster_key::create(std::string(32, 'k'));
}

auto address_of(std::uint16_t port) -> peer_address
{
    return {"127.0.0.1", port};
}

/** Hooks that count lost links. */
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
    hooks.on_runs_ = [](const auto&, auto) {
    };
    return hooks;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_replica_that_speaks_is_dialled_again_though_a_dial_hangs)
{
    const raw_server silent([](raw_socket&) {}); // takes connections and answers nothing
    unsigned lost = 0;
    bool connected = false;
    replica_links first({{"a", {}}, {"b", address_of(silent.port())}}, key_of_group(),
                        counting_hooks(lost, connected));
    std::vector<std::shared_ptr<h2_connection>> connections;
    const auto listener = reuse_port_listener::listen(address_of(0), [&](auto socket) {
        connections.push_back(serve_peer(
            std::move(socket), key_of_group(),
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
    replica_links second({{"a", address_of((*listener)->port())}, {"b", {}}}, key_of_group(),
                         counting_hooks(lost_by_second, second_connected));
    second.start("b");
    BOOST_TEST(wait_until([&] { return second_connected; }));
    second.send("a", currency_request{1});
    BOOST_TEST(wait_until([&] { return silent.connections().size() == 2; }));
    BOOST_TEST(lost == 0U); // it did not wait for the first dial to time out
    BOOST_TEST(!connected);
}
