/** \file
 * Listening sockets with SO_REUSEPORT: several threads listen on one port, and the kernel
 * distributes the connections over them.
 */
#pragma once

#include <functional>
#include <memory>

#include "transport/peer_connection.h"

class QTcpServer;
class QTcpSocket;

namespace sycamorewinch {

/** Takes each accepted socket, which has no parent object, in the listener's thread. */
using accept_hook = std::function<void(std::unique_ptr<QTcpSocket> socket)>;

/** Receive buffer of a connection from a client outside the system. The system enlarges a buffer
 * without a stated size while its reader is paused, by far more than the reader would hold. */
constexpr int client_receive_buffer_bytes = 32 * 1024;
/** What the system may hold in such a buffer, with its own data. */
constexpr std::size_t client_receive_buffer_memory = 2U * client_receive_buffer_bytes;

/** The listening socket of one thread. */
class reuse_port_listener {
  public:
    /** Listens on \p address; port 0 selects a free port. The connections have receive buffers of
     * \p receive_buffer_bytes; 0: of any size. Error io: the port cannot be bound. */
    [[nodiscard]] static auto listen(const peer_address& address, accept_hook on_accept,
                                     int receive_buffer_bytes = 0)
        -> result<std::unique_ptr<reuse_port_listener>>;
    reuse_port_listener(const reuse_port_listener&) = delete;
    auto operator=(const reuse_port_listener&) -> reuse_port_listener& = delete;
    reuse_port_listener(reuse_port_listener&&) = delete;
    auto operator=(reuse_port_listener&&) -> reuse_port_listener& = delete;
    ~reuse_port_listener();

    [[nodiscard]] auto port() const -> std::uint16_t;
    /** Accepts the connections that the kernel has already established, then stops listening. */
    void close();

  private:
    explicit reuse_port_listener(std::unique_ptr<QTcpServer> server);
    std::unique_ptr<QTcpServer> server_;
};

} // namespace sycamorewinch
