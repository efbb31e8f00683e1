#include "request_path/target_connections.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** Limits on reusing an idle connection, for repeatable and for unrepeatable requests. */
constexpr std::chrono::milliseconds max_idle_time{30'000};
constexpr std::chrono::milliseconds max_idle_time_unrepeatable{500};
constexpr std::size_t max_idle_per_target = 32;
/** A connection is not reused this close to the end of its keep-alive time, since a request that is
 * sent while the target closes the connection is lost. */
constexpr std::chrono::milliseconds keep_alive_margin{500};

/** Returns how long \p connection may be idle and still be reused. */
auto idle_limit_of(const http1_client_connection& connection) -> std::chrono::milliseconds
{
    const auto server_limit = connection.keep_alive_time();
    return server_limit ? std::chrono::milliseconds(*server_limit) - keep_alive_margin
                        : max_idle_time;
}

} // namespace

auto target_connections::acquire(const peer_address& address, bool recently_used_only)
    -> std::shared_ptr<http1_client_connection>
{
    const auto limit = recently_used_only ? max_idle_time_unrepeatable : max_idle_time;
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->is_reusable() &&
            connection->idle_time() < std::min(limit, idle_limit_of(*connection))) {
            return connection;
        }
    }
    auto connection = http1_client_connection::dial(address.host_, address.port_, limits_);
    connection->set_silent_hook([this, address, weak = std::weak_ptr(connection)] {
        if (const auto silent = weak.lock()) {
            drop_silent(address, silent->idle_time());
        }
    });
    return connection;
}

void target_connections::drop_silent(const peer_address& address,
                                     std::chrono::milliseconds idle_time)
{
    // A connection that was used after the silence began is known to work.
    std::erase_if(idle_[address], [idle_time](const auto& connection) {
        return connection->idle_time() >= idle_time;
    });
}

auto target_connections::idle_count(const peer_address& address) const -> std::size_t
{
    const auto found = idle_.find(address);
    return found == idle_.end() ? 0 : found->second.size();
}

void target_connections::release(const peer_address& address,
                                 std::shared_ptr<http1_client_connection> connection)
{
    auto& idle = idle_[address];
    if (connection->is_reusable() && idle.size() < max_idle_per_target) {
        idle.push_back(std::move(connection));
    }
}

} // namespace sycamorewinch
