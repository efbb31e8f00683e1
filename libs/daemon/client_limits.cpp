#include "daemon/client_limits.h"

#include <algorithm>
#include <memory>

#include <sys/resource.h>

#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

namespace {

/** What the process holds for clients. As much again may wait in the system's receive buffers; the
 * rest is for the program itself, its tables and what it holds for other processes. */
constexpr std::uint64_t client_part_of_memory = 4;
/** The part of a node's memory for clients that is not for callers. */
constexpr std::uint64_t interface_part_at_nodes = 4;
/** A call uses up to three descriptors at a node: its caller's, its target's and a duplicate. */
constexpr std::size_t caller_part_of_descriptors = 4;
constexpr std::size_t interface_part_of_descriptors = 16;
/** The parts of the memory that the receive buffers of callers, and of one other address, take. */
constexpr std::uint64_t caller_buffer_part_of_memory = 4;
constexpr std::uint64_t interface_buffer_part_of_memory = 32;
constexpr std::size_t max_admin_connections = 64;

/** Returns the descriptors that the process may use by its settings and by the system. */
auto usable_descriptors(const daemon_settings& settings) -> std::size_t
{
    rlimit limit{};
    const std::size_t allowed = settings.descriptor_limit_;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0
               ? std::min(allowed, static_cast<std::size_t>(limit.rlim_cur))
               : allowed;
}

} // namespace

auto client_limits_for(const daemon_settings& settings) -> client_limits
{
    const auto memory = settings.memory_limit_bytes_ / client_part_of_memory;
    const auto for_interfaces =
        settings.role_ == daemon_role::node ? memory / interface_part_at_nodes : memory;
    const auto descriptors = usable_descriptors(settings);
    client_limits limits;
    limits.memory_ = {memory - for_interfaces, for_interfaces};
    const auto buffers_in = [&](std::uint64_t part_of_memory) -> std::size_t {
        return settings.memory_limit_bytes_ / part_of_memory / client_receive_buffer_memory;
    };
    const auto callers = std::min(descriptors / caller_part_of_descriptors,
                                  buffers_in(caller_buffer_part_of_memory));
    limits.caller_connections_ = std::max<std::size_t>(callers / settings.workers_, 1);
    limits.interface_connections_ = std::min(descriptors / interface_part_of_descriptors,
                                             buffers_in(interface_buffer_part_of_memory));
    limits.admin_connections_ = std::min(max_admin_connections, limits.interface_connections_);
    return limits;
}

auto client_resources::limits_of_admin(qint64 max_request_bytes) -> admin_limits
{
    return {.max_request_bytes_ = max_request_bytes,
            .max_connections_ = limits_.admin_connections_,
            .account_ = &account_};
}

auto client_resources::guards_of_interface() -> guard_factory
{
    return [this](const std::string& name) {
        return std::make_unique<resource_guard>(account_, memory_use::interfaces,
                                                limits_.interface_connections_, name);
    };
}

} // namespace sycamorewinch
