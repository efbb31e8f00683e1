// A peer that is slow to prove the key, or to close its connection, has the time that the limits
// state.
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "../h2_fixture.h"
#include "standin/connection_lifetimes.h"
#include "transport/peer_connection.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds tested_timeout{500};
/** The shortest time that Qt would round for a single shot. */
constexpr std::chrono::milliseconds tested_server_handshake_timeout{2'000};
constexpr std::chrono::milliseconds long_timeout{60'000};
/** Handshakes start at even steps over half a second, since Qt rounds timers to parts of a second.
 */
constexpr unsigned handshake_count = 20;
constexpr std::chrono::milliseconds start_interval{25};

auto long_timeouts() -> connection_limits
{
    connection_limits limits;
    limits.ping_interval_ = long_timeout;
    limits.heartbeat_timeout_ = long_timeout;
    limits.handshake_timeout_ = long_timeout;
    limits.linger_timeout_ = long_timeout;
    return limits;
}

auto make_key() -> cluster_key
{
    return *cluster_key::create(std::string(32, 'k'));
}

/** Listens on a free port and keeps the connections that \p make_connection returns. */
class connection_holder {
  public:
    using connection_factory =
        std::function<std::shared_ptr<h2_connection>(std::unique_ptr<QTcpSocket> socket)>;

    explicit connection_holder(const connection_factory& make_connection)
    {
        static_cast<void>(wait_until([] { return true; })); // creates the event loop
        auto listener = reuse_port_listener::listen(
            {"127.0.0.1", 0}, [this, make_connection](std::unique_ptr<QTcpSocket> socket) {
                connections_.push_back(make_connection(std::move(socket)));
            });
        BOOST_REQUIRE(listener.has_value());
        listener_ = std::move(*listener);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return listener_->port(); }

  private:
    std::vector<std::shared_ptr<h2_connection>> connections_;
    std::unique_ptr<reuse_port_listener> listener_;
};

void check_lifetimes(const connection_holder& server, std::chrono::milliseconds timeout)
{
    for (const auto lifetime : measure_connection_lifetimes(server.port(), "")) {
        BOOST_TEST(to_milliseconds(lifetime) >= timeout.count());
    }
}

/** A handshake with a server that never responds, and how long it lasted. */
struct timed_handshake {
    instant started_at_ = monotonic_now();
    std::optional<duration> lasted_;
    std::shared_ptr<peer_client> client_;

    explicit timed_handshake(std::uint16_t port)
    {
        auto limits = long_timeouts();
        limits.handshake_timeout_ = tested_timeout;
        peer_client_hooks hooks;
        hooks.on_ended_ = [this](connection_end_reason end) {
            BOOST_TEST((end == connection_end_reason::not_ready));
            lasted_ = monotonic_now() - started_at_;
        };
        client_ = peer_client::dial({"127.0.0.1", port}, make_key(), std::move(hooks), limits);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(no_client_gives_up_before_the_handshake_timeout)
{
    const scripted_server silent_server([](loopback_socket&) {});
    std::vector<std::unique_ptr<timed_handshake>> handshakes;
    for (unsigned index = 0; index < handshake_count; ++index) {
        handshakes.push_back(std::make_unique<timed_handshake>(silent_server.port()));
        run_events(start_interval);
    }
    for (const auto& handshake : handshakes) {
        BOOST_TEST(wait_until([&] { return handshake->lasted_.has_value(); }));
        BOOST_TEST(to_milliseconds(handshake->lasted_.value_or(duration(0))) >=
                   tested_timeout.count());
    }
}

BOOST_AUTO_TEST_CASE(no_server_gives_up_before_the_handshake_timeout)
{
    auto limits = long_timeouts();
    limits.handshake_timeout_ = tested_server_handshake_timeout;
    const connection_holder server([limits](std::unique_ptr<QTcpSocket> socket) {
        return serve_peer(
            std::move(socket), make_key(),
            [](const auto&, stream_id, const auto&, bool) { return stream_hooks(); }, {}, limits);
    });
    check_lifetimes(server, tested_server_handshake_timeout);
}

BOOST_AUTO_TEST_CASE(no_connection_is_closed_before_its_peer_had_the_linger_timeout_to_close_it)
{
    auto limits = long_timeouts();
    limits.linger_timeout_ = tested_timeout;
    const connection_holder server([limits](std::unique_ptr<QTcpSocket> socket) {
        auto connection =
            h2_connection::create(h2_connection::side::server, std::move(socket), {}, limits);
        connection->begin_shutdown();
        return connection;
    });
    check_lifetimes(server, tested_timeout);
}
