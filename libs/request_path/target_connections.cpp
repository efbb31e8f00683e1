#include "request_path/target_connections.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** Idle connections are reused up to this idle time, for requests that may be retried and for those
 * that may not. */
constexpr std::chrono::milliseconds max_idle_time{30'000};
constexpr std::chrono::milliseconds max_idle_time_unrepeatable{500};
constexpr std::size_t max_idle_per_target = 32;
/** A connection is not reused this close to the end of its keep-alive time, since a request that is
 * sent while the target closes the connection fails, and its outcome is unknown. */
constexpr std::chrono::milliseconds keep_alive_margin{500};

/** Returns the idle time up to which the target's keep-alive time permits to reuse \p connection;
 * max_idle_time if the target stated none. */
auto idle_limit_of(const http1_client_connection& connection) -> std::chrono::milliseconds
{
    const auto target_keep_alive_time = connection.keep_alive_time();
    return target_keep_alive_time
               ? std::chrono::milliseconds(*target_keep_alive_time) - keep_alive_margin
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
    return dial(address);
}

auto target_connections::dial(const peer_address& address)
    -> std::shared_ptr<http1_client_connection>
{
    auto connection = http1_client_connection::dial(address.host_, address.port_, limits_);
    // Called when a request is cancelled after a long wait without any byte of the response.
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
    // A connection whose last exchange ended after the silent one began its own is known to work.
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

auto target_connections::reservation_of(const peer_address& address)
    -> const std::shared_ptr<slot_reservation>&
{
    auto& reservation = reservations_[address];
    if (!reservation) {
        reservation = std::make_shared<slot_reservation>();
    }
    return reservation;
}

} // namespace sycamorewinch
