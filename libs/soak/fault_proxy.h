/** \file
 * A TCP proxy on loopback that represents a network link and injects faults into it.
 *
 * \code
 * auto link = fault_proxy::start({"127.0.0.1", 7100}, {"127.0.0.1", 7000});
 * (*link)->set_fault(link_fault::silent);
 * \endcode
 */
#pragma once

#include <cstdint>
#include <list>
#include <memory>

#include "base/enum_names.h"
#include "base/result.h"
#include "transport/peer_connection.h"

class QTcpServer;
class QTcpSocket;

namespace sycamorewinch {

/** The fault on a link. */
enum class link_fault : std::uint8_t {
    none,
    delayed,     ///< Every byte arrives with a delay.
    silent,      ///< Nothing passes in either direction, without any error; it is delivered
                 ///< when the fault ends.
    silent_to,   ///< Nothing passes towards the target.
    silent_from, ///< Nothing passes back from the target.
    forgotten,   ///< Open connections are silent for good; new ones work. Models a middlebox that
                 ///< lost its connection state.
    reset,       ///< Open connections are reset, and new ones as they arrive.
};

constexpr enum_names<link_fault, 7> link_fault_names{
    {"none", "delayed", "silent", "silent_to", "silent_from", "forgotten", "reset"}};

/** One link. Runs in the event loop of the thread that created it. */
class fault_proxy {
  public:
    /** Accepts connections on \p listen and forwards each one to \p target. */
    [[nodiscard]] static auto start(const peer_address& listen, const peer_address& target)
        -> result<std::unique_ptr<fault_proxy>>;
    fault_proxy(const fault_proxy&) = delete;
    auto operator=(const fault_proxy&) -> fault_proxy& = delete;
    fault_proxy(fault_proxy&&) = delete;
    auto operator=(fault_proxy&&) -> fault_proxy& = delete;
    ~fault_proxy();

    void set_fault(link_fault fault);
    [[nodiscard]] auto fault() const -> link_fault { return fault_; }
    /** Returns the port listened on. */
    [[nodiscard]] auto port() const -> std::uint16_t;

  private:
    struct connection_pair;

    explicit fault_proxy(const peer_address& target);
    void accept();
    void forward(const std::shared_ptr<connection_pair>& pair);
    [[nodiscard]] auto is_forwarding(bool target, const connection_pair& pair) const -> bool;
    /** \p pair must not be a reference to an element of connections_, which is erased from it. */
    void close(const std::shared_ptr<connection_pair>& pair);

    peer_address target_;
    link_fault fault_ = link_fault::none;
    std::unique_ptr<QTcpServer> server_;
    std::list<std::shared_ptr<connection_pair>> connections_;
};

} // namespace sycamorewinch
