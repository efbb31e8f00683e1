/** \file
 * Listening sockets that several threads share by SO_REUSEPORT; the kernel spreads connections.
 */
#pragma once

#include <functional>
#include <memory>

#include "transport/peer_connection.h"

class QTcpServer;
class QTcpSocket;

namespace sycamorewinch {

/** Receives each accepted socket, without a parent, in the listener's thread. */
using accept_hook = std::function<void(std::unique_ptr<QTcpSocket> socket)>;

/** A listening socket of one thread. */
class reuse_port_listener {
  public:
    /** Listens on \p address; port 0 takes a free one. */
    [[nodiscard]] static auto listen(const peer_address& address, accept_hook on_accept)
        -> result<std::unique_ptr<reuse_port_listener>>;
    reuse_port_listener(const reuse_port_listener&) = delete;
    auto operator=(const reuse_port_listener&) -> reuse_port_listener& = delete;
    reuse_port_listener(reuse_port_listener&&) = delete;
    auto operator=(reuse_port_listener&&) -> reuse_port_listener& = delete;
    ~reuse_port_listener();

    /** Returns the port listened on. */
    [[nodiscard]] auto port() const -> std::uint16_t;
    /** Takes no further connections. */
    void close();

  private:
    explicit reuse_port_listener(std::unique_ptr<QTcpServer> server);
    std::unique_ptr<QTcpServer> server_;
};

} // namespace sycamorewinch
