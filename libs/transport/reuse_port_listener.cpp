#include "transport/reuse_port_listener.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr int listen_backlog = 1024;

/** An IPv4 or IPv6 socket address. */
struct native_address {
    sockaddr_storage storage_{};
    socklen_t length_ = 0;
};

auto to_native(const peer_address& address) -> native_address
{
    native_address native;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&native.storage_);
    if (::inet_pton(AF_INET, address.host_.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port_);
        native.length_ = sizeof(sockaddr_in);
        return native;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&native.storage_);
    ::inet_pton(AF_INET6, address.host_.c_str(), &v6->sin6_addr);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port_);
    native.length_ = sizeof(sockaddr_in6);
    return native;
}

auto open_listening_socket(const peer_address& address, int receive_buffer_bytes) -> int
{
    const auto native = to_native(address);
    const int enabled = 1;
    const auto* base = reinterpret_cast<const sockaddr*>(&native.storage_);
    const auto socket_descriptor =
        ::socket(native.storage_.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket_descriptor < 0) {
        return -1;
    }
    if (receive_buffer_bytes > 0) { // accepted connections inherit it; if refused, they lack it
        ::setsockopt(socket_descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof(receive_buffer_bytes));
    }
    if (::setsockopt(socket_descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) != 0 ||
        ::setsockopt(socket_descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled)) != 0 ||
        ::bind(socket_descriptor, base, native.length_) != 0 ||
        ::listen(socket_descriptor, listen_backlog) != 0) {
        ::close(socket_descriptor);
        return -1;
    }
    return socket_descriptor;
}

} // namespace

reuse_port_listener::reuse_port_listener(std::unique_ptr<QTcpServer> server)
    : server_(std::move(server))
{
}

reuse_port_listener::~reuse_port_listener() = default;

auto reuse_port_listener::listen(const peer_address& address, accept_hook on_accept,
                                 int receive_buffer_bytes)
    -> result<std::unique_ptr<reuse_port_listener>>
{
    const auto socket_descriptor = open_listening_socket(address, receive_buffer_bytes);
    auto server = std::make_unique<QTcpServer>();
    if (socket_descriptor < 0 || !server->setSocketDescriptor(socket_descriptor)) {
        return failure(error_kind::io, fmt::format("cannot listen on {}: {}", to_text(address),
                                                   std::strerror(errno)));
    }
    auto* raw = server.get();
    QObject::connect(raw, &QTcpServer::newConnection, raw, [raw, on_accept = std::move(on_accept)] {
        while (auto* socket = raw->nextPendingConnection()) {
            socket->setParent(nullptr);
            on_accept(std::unique_ptr<QTcpSocket>(socket));
        }
    });
    return std::unique_ptr<reuse_port_listener>(new reuse_port_listener(std::move(server)));
}

auto reuse_port_listener::port() const -> std::uint16_t
{
    return server_->serverPort();
}

void reuse_port_listener::close()
{
    while (server_->waitForNewConnection(0)) {
        // Closing the socket would reset connections that are still in the accept queue.
    }
    server_->close();
}

} // namespace sycamorewinch
