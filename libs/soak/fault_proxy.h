/** \file
 * A TCP proxy on loopback that stands in for a network link and can be made to misbehave.
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

/** How a link misbehaves. */
enum class link_fault : std::uint8_t {
    none,
    delayed,     ///< Everything arrives a while later.
    silent,      ///< Nothing passes either way, and nobody is told; it passes once it is over.
    silent_to,   ///< Nothing passes towards the listener's target.
    silent_from, ///< Nothing passes back from it.
    forgotten,   ///< Open connections are silent for good; new ones work.
    reset,       ///< Open connections are reset, and new ones as they come.
};

constexpr enum_names<link_fault, 7> link_fault_names{
    {"none", "delayed", "silent", "silent_to", "silent_from", "forgotten", "reset"}};

/** One link. Lives in its thread's event loop. */
class fault_proxy {
  public:
    /** Takes connections at \p listen and connects each one to \p target. */
    [[nodiscard]] static auto start(const peer_address& listen, const peer_address& target)
        -> result<std::unique_ptr<fault_proxy>>;
    fault_proxy(const fault_proxy&) = delete;
    auto operator=(const fault_proxy&) -> fault_proxy& = delete;
    fault_proxy(fault_proxy&&) = delete;
    auto operator=(fault_proxy&&) -> fault_proxy& = delete;
    ~fault_proxy();

    void set_fault(link_fault fault);
    /** Returns the port listened on. */
    [[nodiscard]] auto port() const -> std::uint16_t;

  private:
    struct passage;

    explicit fault_proxy(const peer_address& target);
    void accept();
    void pump(const std::shared_ptr<passage>& passage);
    [[nodiscard]] auto is_open_towards(bool target, const passage& passage) const -> bool;
    /** \p passage must not be the list's own. */
    void end(const std::shared_ptr<passage>& passage);

    peer_address target_;
    link_fault fault_ = link_fault::none;
    std::unique_ptr<QTcpServer> server_;
    std::list<std::shared_ptr<passage>> passages_;
};

} // namespace sycamorewinch
