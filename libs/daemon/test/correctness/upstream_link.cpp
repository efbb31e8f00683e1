#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "daemon/publisher_server.h"
#include "daemon/upstream_link.h"
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

/** A control process that accepts subscribers and proves nothing. */
class unproving_publisher {
  public:
    unproving_publisher()
        : server_(metrics_, {[] {}, [](const auto&) {}, [] {}, [](const auto&) {}, {}, {}}),
          listener_(*reuse_port_listener::listen(address_of(0), [this](auto socket) {
              connections_.push_back(serve_peer(
                  std::move(socket), test_cluster_key(),
                  [this](const auto& connection, stream_id stream, const auto&, bool) {
                      return server_.accept(connection, stream);
                  },
                  [](connection_end_reason) {}));
          }))
    {
    }

    [[nodiscard]] auto address() const -> peer_address { return address_of(listener_->port()); }
    [[nodiscard]] auto subscribers() -> std::size_t { return server_.logic().subscriber_count(); }
    [[nodiscard]] auto logic() -> publisher& { return server_.logic(); }
    void publish(table newest)
    {
        server_.logic().set_table(std::make_shared<const table>(std::move(newest)));
        server_.process_output();
    }

  private:
    metrics_registry metrics_;
    publisher_server server_;
    std::vector<std::shared_ptr<h2_connection>> connections_;
    std::unique_ptr<reuse_port_listener> listener_;
};

auto options_with(duration proof_timeout) -> subscriber_options
{
    return {"n", "zone-a", false, seeded_random(1), proof_timeout / 2, proof_timeout};
}

auto no_op_hooks() -> upstream_link_hooks
{
    return {[](const auto&) {},
            [](bool) {
            }};
}

/** Accepts connections and never answers. */
auto silent_script() -> loopback_socket::event_hook
{
    return [](loopback_socket&) {
    };
}

} // namespace

// Guards against upstreams that are tried one after the other while a silent one holds up the rest,
// and against giving up a handshake that a busy process only answers late.
BOOST_AUTO_TEST_CASE(a_further_upstream_is_dialled_beside_one_that_does_not_answer)
{
    const scripted_server first(silent_script());
    const scripted_server second(silent_script());
    metrics_registry metrics;
    upstream_link link({address_of(first.port()), address_of(second.port())}, test_cluster_key(),
                       options_with(std::chrono::seconds(8)), metrics, no_op_hooks());
    link.start();
    const auto is_open = [](const scripted_server& server) {
        return server.connections().size() == 1 && !server.connections().front()->is_closed();
    };
    BOOST_TEST(wait_until([&] { return is_open(first) && is_open(second); }));
}

// Guards against one record that cuts a node off from tables: review/3, where every publisher
// closed the channel on a record with a name of 70 bytes, which a node of an earlier version passes
// on.
BOOST_AUTO_TEST_CASE(a_record_that_cannot_be_read_costs_neither_its_message_nor_the_channel)
{
    unproving_publisher upstream;
    metrics_registry metrics;
    std::uint64_t received_version = 0;
    std::size_t connections = 0;
    upstream_link link({upstream.address()}, test_cluster_key(),
                       options_with(std::chrono::seconds(20)), metrics,
                       {[&](const subscriber_output& output) {
                            if (output.held_) {
                                received_version = output.held_->version_.number_;
                            }
                        },
                        [&](bool) {
                            ++connections;
                            target_record odd{.service_ = std::string(70, 's'), .target_ = "t1"};
                            target_record not_utf8{.service_ = "dialer", .target_ = "\xff"};
                            const target_record good{.service_ = "dialer", .target_ = "d1"};
                            link.logic().report_targets({{odd, good, not_utf8}, true});
                        }});
    link.start();
    BOOST_REQUIRE(wait_until([&] { return upstream.logic().targets().size() == 1; }));
    BOOST_TEST(upstream.logic().targets().find("dialer", "d1") != nullptr);
    row dialer{.service_ = "dialer", .path_prefix_ = "/dialer"};
    upstream.publish(make_table(1, {dialer}));
    BOOST_TEST(wait_until([&] { return received_version == 1; }));
    BOOST_TEST(connections == 1U);
}

// Guards against leaving an upstream that may only be slow before another one has been reached.
BOOST_AUTO_TEST_CASE(a_stale_upstream_stays_connected_until_another_is_ready)
{
    unproving_publisher slow;
    const scripted_server silent(silent_script());
    metrics_registry metrics;
    upstream_link link({slow.address()}, test_cluster_key(),
                       options_with(std::chrono::milliseconds(500)), metrics, no_op_hooks());
    link.start();
    BOOST_REQUIRE(wait_until([&] { return link.is_connected() && slow.subscribers() == 1; }));
    link.set_upstreams({slow.address(), address_of(silent.port())});
    BOOST_REQUIRE(wait_until([&] { return !silent.connections().empty(); }));
    BOOST_TEST(link.is_connected());
    BOOST_TEST(slow.subscribers() == 1U);
    unproving_publisher other;
    link.set_upstreams({slow.address(), other.address()});
    BOOST_TEST(wait_until([&] { return other.subscribers() == 1 && slow.subscribers() == 0; }));
}
