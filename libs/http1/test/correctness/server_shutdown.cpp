// A server that closes its idle connections first sends what it has answered.
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "http1/http1_server_connection.h"
#include "standin/loopback_socket.h"
#include "transport/reuse_port_listener.h"

using namespace sycamorewinch;

namespace {

/** More than the operating system buffers for a caller that does not read. */
constexpr std::size_t body_bytes = 32U * 1024 * 1024;

/** Answers one request with a large body, all of it at once. */
class large_response_server {
  public:
    large_response_server()
    {
        static_cast<void>(wait_until([] { return true; })); // creates the event loop
        auto listener = reuse_port_listener::listen(
            {"127.0.0.1", 0},
            [this](std::unique_ptr<QTcpSocket> socket) { accept(std::move(socket)); });
        BOOST_REQUIRE(listener.has_value());
        listener_ = std::move(*listener);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return listener_->port(); }
    [[nodiscard]] auto connection() -> http1_server_connection& { return *connection_; }
    [[nodiscard]] auto has_answered() const -> bool { return has_answered_; }

  private:
    void accept(std::unique_ptr<QTcpSocket> socket)
    {
        server_connection_hooks hooks;
        hooks.on_request_ = [this](const message_head&) {
            request_hooks request;
            request.on_body_end_ = [this] {
                respond();
            };
            return request;
        };
        hooks.on_closed_ = [] {
        };
        connection_ = http1_server_connection::create(std::move(socket), {}, std::move(hooks));
    }

    void respond()
    {
        message_head response;
        response.status_ = 200;
        response.has_body_ = true;
        response.content_length_ = body_bytes;
        connection_->respond(response);
        connection_->write(std::string(body_bytes, 'x'));
        connection_->finish();
        has_answered_ = true;
    }

    bool has_answered_ = false;
    std::shared_ptr<http1_server_connection> connection_;
    std::unique_ptr<reuse_port_listener> listener_;
};

} // namespace

BOOST_AUTO_TEST_CASE(
    a_finished_response_to_a_slow_caller_is_not_cut_when_idle_connections_are_closed)
{
    large_response_server server;
    const auto caller = loopback_socket::dial(server.port());
    caller->count_only();
    caller->pause_reading(true);
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return server.has_answered(); }));
    run_events(std::chrono::milliseconds(20)); // the connection is ready for the next request
    BOOST_TEST(server.connection().queued_bytes() > 0U);
    server.connection().close_when_idle();
    caller->pause_reading(false);
    BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    BOOST_TEST(caller->bytes_received() > body_bytes);
}
