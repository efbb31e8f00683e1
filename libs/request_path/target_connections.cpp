#include "request_path/target_connections.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr std::chrono::milliseconds longest_idle{30'000};
constexpr std::chrono::milliseconds longest_idle_unrepeatable{500};
constexpr std::size_t max_idle_per_target = 32;
/** A request on its way when the target closes an idle connection is lost. */
constexpr std::chrono::milliseconds close_margin{500};

/** Returns how long \p connection may be idle before its target closes it. */
auto kept(const http1_client_connection& connection) -> std::chrono::milliseconds
{
    const auto stated = connection.keep_alive_time();
    return stated ? std::chrono::milliseconds(*stated) - close_margin : longest_idle;
}

} // namespace

auto target_connections::take(const peer_address& address, bool fresh_only)
    -> std::shared_ptr<http1_client_connection>
{
    const auto limit = fresh_only ? longest_idle_unrepeatable : longest_idle;
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->is_reusable() &&
            connection->idle_time() < std::min(limit, kept(*connection))) {
            return connection;
        }
    }
    auto connection = http1_client_connection::dial(address.host_, address.port_, limits_);
    connection->on_silent([this, address, weak = std::weak_ptr(connection)] {
        if (const auto silent = weak.lock()) {
            drop_silent(address, silent->idle_time());
        }
    });
    return connection;
}

void target_connections::drop_silent(const peer_address& address,
                                     std::chrono::milliseconds silent_for)
{
    // One that was in use after the silence began has shown that it works.
    std::erase_if(idle_[address], [silent_for](const auto& connection) {
        return connection->idle_time() >= silent_for;
    });
}

auto target_connections::idle_count(const peer_address& address) const -> std::size_t
{
    const auto found = idle_.find(address);
    return found == idle_.end() ? 0 : found->second.size();
}

void target_connections::give_back(const peer_address& address,
                                   std::shared_ptr<http1_client_connection> connection)
{
    auto& idle = idle_[address];
    if (connection->is_reusable() && idle.size() < max_idle_per_target) {
        idle.push_back(std::move(connection));
    }
}

} // namespace sycamorewinch
