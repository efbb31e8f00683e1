#include "h2_fixture.h"

#include <QHostAddress>
#include <QTcpSocket>

namespace sycamorewinch {

auto short_timeouts() -> connection_limits
{
    connection_limits limits;
    limits.ping_interval_ = std::chrono::milliseconds(20);
    limits.heartbeat_timeout_ = std::chrono::milliseconds(100);
    limits.handshake_timeout_ = std::chrono::milliseconds(200);
    return limits;
}

auto request_fields(std::string_view path) -> header_list
{
    return {{":method", "POST"},
            {":scheme", "http"},
            {":authority", "test"},
            {":path", std::string(path)}};
}

auto dial_h2(std::uint16_t port, connection_hooks hooks, connection_limits limits)
    -> std::shared_ptr<h2_connection>
{
    (void)wait_until([] { return true; });
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress(QHostAddress::LocalHost), port);
    return h2_connection::create(h2_connection::side::client, std::move(socket), std::move(hooks),
                                 limits);
}

h2_server::h2_server(request_hook on_request, connection_limits limits)
    : on_request_(std::move(on_request)), limits_(limits)
{
    (void)wait_until([] { return true; });
    listener_ = std::move(*reuse_port_listener::listen(
        {"127.0.0.1", 0}, [this](auto socket) { accept(std::move(socket)); }));
}

void h2_server::accept(std::unique_ptr<QTcpSocket> socket)
{
    const auto self = std::make_shared<std::weak_ptr<h2_connection>>();
    connection_hooks hooks;
    hooks.on_request_ = [this, self](stream_id stream, const header_list& headers, bool) {
        return on_request_(*self->lock(), stream, headers);
    };
    hooks.on_ended_ = [this](connection_end_reason end) {
        ends_.push_back(end);
    };
    connections_.push_back(h2_connection::create(h2_connection::side::server, std::move(socket),
                                                 std::move(hooks), limits_));
    *self = connections_.back();
}

} // namespace sycamorewinch
