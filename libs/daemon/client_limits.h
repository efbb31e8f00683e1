/** \file
 * How a process divides its memory and its descriptors among its clients. The reasons are in
 * docs/design/limits.md.
 */
#pragma once

#include "daemon/external_interface.h"
#include "daemon/limited_tcp_server.h"
#include "settings/daemon_settings.h"

namespace sycamorewinch {

/** What the clients of one process may use. */
struct client_limits {
    memory_limits memory_{};                ///< Bytes held for clients, by use.
    std::size_t caller_connections_ = 0;    ///< Of each worker of a node.
    std::size_t interface_connections_ = 0; ///< At each address of the external interface.
    std::size_t admin_connections_ = 0;     ///< At the admin address.
};

/** Returns the limits that follow from the settings and from the system's limit of descriptors. */
[[nodiscard]] auto client_limits_for(const daemon_settings& settings) -> client_limits;

/** What clients outside the system hold in one process, with its limits. */
class client_resources {
  public:
    client_resources(const daemon_settings& settings, metrics_registry& metrics)
        : limits_(client_limits_for(settings)), account_(limits_.memory_, metrics)
    {
    }

    [[nodiscard]] auto limits() const -> const client_limits& { return limits_; }
    [[nodiscard]] auto account() -> memory_account& { return account_; }
    /** Returns the limits of the admin address, where a request may have \p max_request_bytes. */
    [[nodiscard]] auto limits_of_admin(qint64 max_request_bytes) -> admin_limits;
    /** Returns a function that makes the guards of an external interface's addresses. */
    [[nodiscard]] auto guards_of_interface() -> guard_factory;

  private:
    client_limits limits_;
    memory_account account_;
};

} // namespace sycamorewinch
