// Peers that are unresponsive, unauthenticated or malformed: only their own connection or stream
// ends, with the right connection_end_reason.
#include <thread>

#include <QTcpSocket>
#include <boost/test/unit_test.hpp>

#include "../h2_fixture.h"
#include "transport/message_channel.h"
#include "transport/peer_connection.h"

using namespace sycamorewinch;

namespace {

auto make_key(char letter) -> cluster_key
{
    return *cluster_key::create(std::string(32, letter));
}

/** A server that authenticates peers with one cluster key. */
struct peer_server {
    explicit peer_server(connection_limits limits = {})
    {
        (void)wait_until([] { return true; });
        listener_ =
            std::move(*reuse_port_listener::listen({"127.0.0.1", 0}, [=, this](auto socket) {
                connections_.push_back(serve_peer(
                    std::move(socket), make_key('k'),
                    [this](const auto& connection, stream_id stream, const auto&, bool) {
                        ++requests_;
                        connection->respond(stream, {{":status", "200"}}, true);
                        return stream_hooks();
                    },
                    [this](connection_end_reason end) { ends_.push_back(end); }, limits));
            }));
    }

    [[nodiscard]] auto address() const -> peer_address { return {"127.0.0.1", listener_->port()}; }

    unsigned requests_ = 0;
    std::vector<connection_end_reason> ends_;
    std::vector<std::shared_ptr<h2_connection>> connections_;
    std::unique_ptr<reuse_port_listener> listener_;
};

/** A peer client that records its hooks. */
struct test_peer {
    test_peer(const peer_address& address, const cluster_key& key, connection_limits limits = {})
        : client_(peer_client::dial(address, key,
                                    {[this] { ready_ = true; },
                                     [this](connection_end_reason end) {
                                         ended_ = end;
                                     }},
                                    limits))
    {
    }

    bool ready_ = false;
    std::optional<connection_end_reason> ended_;
    std::shared_ptr<peer_client> client_;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_peer_with_the_key_becomes_ready)
{
    const peer_server server;
    const test_peer peer(server.address(), make_key('k'));
    BOOST_TEST(wait_until([&] { return peer.ready_; }));
}

BOOST_AUTO_TEST_CASE(a_peer_with_another_key_is_refused_without_affecting_other_connections)
{
    const peer_server server;
    const test_peer authenticated(server.address(), make_key('k'));
    BOOST_TEST(wait_until([&] { return authenticated.ready_; }));
    const test_peer foreign_peer(server.address(), make_key('x'));
    BOOST_TEST(wait_until([&] { return foreign_peer.ended_.has_value(); }));
    BOOST_TEST((*foreign_peer.ended_ == connection_end_reason::unauthorized));
    BOOST_TEST(authenticated.client_->is_ready());
}

BOOST_AUTO_TEST_CASE(a_request_without_a_proof_ends_its_connection)
{
    const peer_server server;
    const auto client = dial_h2(server.address().port_);
    (void)client->request(request_fields("/calls"), true, {});
    BOOST_TEST(wait_until([&] { return !server.ends_.empty(); }));
    BOOST_TEST((server.ends_[0] == connection_end_reason::unauthorized));
    BOOST_TEST(server.requests_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_wrong_proof_ends_its_connection)
{
    const peer_server server;
    const auto client = dial_h2(server.address().port_);
    auto fields = request_fields("/prove");
    fields.push_back({"sycamorewinch-proof", std::string(64, '0')});
    (void)client->request(fields, true, {});
    BOOST_TEST(wait_until([&] { return !server.ends_.empty(); }));
    BOOST_TEST((server.ends_[0] == connection_end_reason::unauthorized));
}

BOOST_AUTO_TEST_CASE(a_peer_of_another_protocol_version_gets_426)
{
    const peer_server server;
    const auto client = dial_h2(server.address().port_);
    auto fields = request_fields("/hello");
    fields.push_back({"sycamorewinch-protocol", "0"});
    fields.push_back({"sycamorewinch-nonce", "n"});
    std::string status;
    stream_hooks hooks;
    hooks.on_headers_ = [&](const header_list& headers, bool) {
        status = find_header(headers, ":status");
    };
    (void)client->request(fields, true, std::move(hooks));
    BOOST_TEST(wait_until([&] { return !server.ends_.empty() && !status.empty(); }));
    BOOST_TEST((server.ends_[0] == connection_end_reason::other_version));
    BOOST_TEST(status == "426");
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http_2_end_only_their_connection)
{
    const peer_server server;
    const test_peer authenticated(server.address(), make_key('k'));
    BOOST_TEST(wait_until([&] { return authenticated.ready_; }));
    const auto foreign_peer = loopback_socket::dial(server.address().port_);
    foreign_peer->write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return foreign_peer->is_closed(); }));
    BOOST_TEST((server.ends_ == std::vector{connection_end_reason::protocol_error}));
    BOOST_TEST(authenticated.client_->is_ready());
}

BOOST_AUTO_TEST_CASE(oversized_header_fields_reset_only_their_stream)
{
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        connection.respond(id, {{":status", "200"}}, true);
        return stream_hooks();
    });
    const auto client = dial_h2(server.port());
    auto fields = request_fields("/");
    for (unsigned count = 0; count < 12; ++count) {
        fields.push_back({"large", std::string(4'000, 'x')});
    }
    std::optional<bool> large;
    stream_hooks large_hooks;
    large_hooks.on_closed_ = [&](bool complete) {
        large = complete;
    };
    (void)client->request(fields, true, std::move(large_hooks));
    BOOST_TEST(wait_until([&] { return large.has_value(); }));
    BOOST_TEST(!*large);
    std::optional<bool> small;
    stream_hooks small_hooks;
    small_hooks.on_closed_ = [&](bool complete) {
        small = complete;
    };
    (void)client->request(request_fields("/"), true, std::move(small_hooks));
    BOOST_TEST(wait_until([&] { return small.has_value(); }));
    BOOST_TEST(*small);
}

BOOST_AUTO_TEST_CASE(a_message_over_the_size_limit_closes_its_channel)
{
    std::shared_ptr<message_channel> accepted;
    bool closed = false;
    const h2_server server([&](h2_connection& connection, stream_id id, const header_list&) {
        stream_hooks hooks;
        accepted = message_channel::accept(
            connection.shared_from_this(), id,
            {[](auto) { BOOST_ERROR("a message over the size limit was delivered"); },
             [&] {
                 closed = true;
             }},
            hooks);
        return hooks;
    });
    const auto client = dial_h2(server.port());
    const auto stream = client->request(request_fields("/"), false, {});
    client->write(*stream, std::string("\xff\xff\xff\x7f", 4) + "start of it", false);
    BOOST_TEST(wait_until([&] { return closed; }));
    BOOST_TEST(server.ends().empty());
}

BOOST_AUTO_TEST_CASE(a_server_that_sends_nothing_runs_into_the_heartbeat_timeout)
{
    const scripted_server silent_peer([](loopback_socket&) {});
    const test_peer peer({"127.0.0.1", silent_peer.port()}, make_key('k'), short_timeouts());
    BOOST_TEST(wait_until([&] { return peer.ended_.has_value(); }));
    BOOST_TEST((*peer.ended_ == connection_end_reason::silent));
}

BOOST_AUTO_TEST_CASE(a_server_that_never_proves_the_key_runs_into_the_handshake_timeout)
{
    const h2_server server([](h2_connection&, stream_id, const header_list&) {
        return stream_hooks(); // acknowledges PINGs but responds to no request
    });
    const test_peer peer({"127.0.0.1", server.port()}, make_key('k'), short_timeouts());
    BOOST_TEST(wait_until([&] { return peer.ended_.has_value(); }));
    BOOST_TEST((*peer.ended_ == connection_end_reason::not_ready));
}

BOOST_AUTO_TEST_CASE(a_client_that_never_proves_the_key_runs_into_the_handshake_timeout)
{
    auto limits = short_timeouts();
    limits.heartbeat_timeout_ = std::chrono::seconds(60);
    const peer_server server(limits);
    const auto silent_peer = loopback_socket::dial(server.address().port_);
    BOOST_TEST(wait_until([&] { return silent_peer->is_closed(); }));
    BOOST_TEST((server.ends_ == std::vector{connection_end_reason::not_ready}));
}

BOOST_AUTO_TEST_CASE(the_heartbeat_timeout_closes_the_connection_and_its_streams)
{
    constexpr std::string_view empty_settings("\0\0\0\4\0\0\0\0\0", 9);
    const scripted_server unresponsive([&](loopback_socket& peer) {
        if (peer.bytes_received() < 200) {
            peer.write(empty_settings);
        }
    });
    std::optional<connection_end_reason> ended;
    connection_hooks hooks;
    hooks.on_ended_ = [&](connection_end_reason end) {
        ended = end;
    };
    const auto client = dial_h2(unresponsive.port(), std::move(hooks), short_timeouts());
    std::optional<bool> closed;
    stream_hooks stream;
    stream.on_closed_ = [&](bool complete) {
        closed = complete;
    };
    (void)client->request(request_fields("/"), true, std::move(stream));
    BOOST_TEST(wait_until([&] { return ended.has_value(); }));
    BOOST_TEST((*ended == connection_end_reason::silent));
    BOOST_TEST((closed && !*closed));
}

BOOST_AUTO_TEST_CASE(a_stall_of_the_own_event_loop_does_not_end_a_working_connection)
{
    const h2_server server(
        [](h2_connection&, stream_id, const header_list&) { return stream_hooks(); });
    connection_limits limits;
    limits.ping_interval_ = std::chrono::milliseconds(100);
    limits.heartbeat_timeout_ = std::chrono::seconds(1);
    const auto client = dial_h2(server.port(), {}, limits);
    bool closed = false;
    stream_hooks hooks;
    hooks.on_closed_ = [&](bool) {
        closed = true;
    };
    (void)client->request(request_fields("/"), true, std::move(hooks));
    BOOST_TEST(wait_until([&] { return client->bytes_received() > 0; }));
    std::this_thread::sleep_for(limits.heartbeat_timeout_ + limits.ping_interval_);
    run_events(limits.ping_interval_);
    BOOST_TEST(client->is_open());
    BOOST_TEST(!closed);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_never_sent_is_reported_as_refused)
{
    std::uint16_t unused = 0;
    {
        const scripted_server stopped_server([](loopback_socket&) {});
        unused = stopped_server.port();
    }
    bool refused = false;
    stream_hooks hooks;
    hooks.on_refused_ = [&] {
        refused = true;
    };
    const auto client = dial_h2(unused);
    (void)client->request(request_fields("/"), true, std::move(hooks));
    BOOST_TEST(wait_until([&] { return !client->is_open(); }));
    BOOST_TEST(refused);
}
