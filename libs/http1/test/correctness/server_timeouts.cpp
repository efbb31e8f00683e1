// A server keeps the connection of a slow or idle caller for the time that its limits state.
#include <set>

#include <boost/test/unit_test.hpp>

#include <QTcpSocket>

#include "http1/http1_server_connection.h"
#include "standin/connection_lifetimes.h"
#include "standin/loopback_socket.h"
#include "transport/reuse_port_listener.h"

using namespace sycamorewinch;

namespace {

constexpr std::chrono::milliseconds tested_timeout{500};
constexpr std::chrono::milliseconds long_timeout{60'000};

/** Answers each request with an empty response. */
class answering_server {
  public:
    explicit answering_server(http1_limits limits) : limits_(limits)
    {
        static_cast<void>(wait_until([] { return true; })); // creates the event loop
        auto listener = reuse_port_listener::listen(
            {"127.0.0.1", 0},
            [this](std::unique_ptr<QTcpSocket> socket) { accept(std::move(socket)); });
        BOOST_REQUIRE(listener.has_value());
        listener_ = std::move(*listener);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return listener_->port(); }

  private:
    void accept(std::unique_ptr<QTcpSocket> socket)
    {
        const auto self = std::make_shared<std::weak_ptr<http1_server_connection>>();
        server_connection_hooks hooks;
        hooks.on_request_ = [self](const message_head&) {
            request_hooks request;
            request.on_body_end_ = [self] {
                message_head response;
                response.status_ = 200;
                self->lock()->respond(response);
                self->lock()->finish();
            };
            return request;
        };
        hooks.on_closed_ = [this, self] {
            connections_.erase(self->lock());
        };
        auto connection =
            http1_server_connection::create(std::move(socket), limits_, std::move(hooks));
        *self = connection;
        connections_.insert(std::move(connection));
    }

    http1_limits limits_;
    std::set<std::shared_ptr<http1_server_connection>> connections_;
    std::unique_ptr<reuse_port_listener> listener_;
};

void check_lifetimes(const http1_limits& limits, std::string_view bytes)
{
    const answering_server server(limits);
    for (const auto lifetime : measure_connection_lifetimes(server.port(), bytes)) {
        BOOST_TEST(to_milliseconds(lifetime) >= tested_timeout.count());
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(no_caller_is_cut_off_within_the_header_timeout)
{
    check_lifetimes({.header_timeout_ = tested_timeout, .idle_timeout_ = long_timeout},
                    "GET /x HTTP/1.1\r\nhost: ");
}

BOOST_AUTO_TEST_CASE(no_new_connection_is_closed_within_the_idle_timeout)
{
    check_lifetimes({.header_timeout_ = long_timeout, .idle_timeout_ = tested_timeout}, "");
}

BOOST_AUTO_TEST_CASE(no_kept_connection_is_closed_within_the_idle_timeout)
{
    check_lifetimes({.header_timeout_ = long_timeout, .idle_timeout_ = tested_timeout},
                    "GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
}
