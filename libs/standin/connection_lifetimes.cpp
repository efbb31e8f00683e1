#include "standin/connection_lifetimes.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>

#include "standin/loopback_socket.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t connection_count = 20;
constexpr std::chrono::milliseconds dial_interval{25};

/** A connection, and how long it stayed open. */
struct timed_connection {
    instant dialled_at_ = monotonic_now();
    std::unique_ptr<loopback_socket> socket_;
    std::optional<duration> lifetime_;

    /** Returns whether the connection is closed, and notes its lifetime if so. */
    auto check_closed() -> bool
    {
        if (!lifetime_ && socket_->is_closed()) {
            lifetime_ = monotonic_now() - dialled_at_;
        }
        return lifetime_.has_value();
    }
};

} // namespace

auto measure_connection_lifetimes(std::uint16_t port, std::string_view bytes)
    -> std::vector<duration>
{
    std::vector<timed_connection> connections;
    const auto started_at = monotonic_now();
    const auto dial_if_due = [&] {
        const auto due_at = started_at + connections.size() * dial_interval;
        if (connections.size() < connection_count && monotonic_now() >= due_at) {
            auto& connection = connections.emplace_back();
            connection.socket_ = loopback_socket::dial(port);
            connection.socket_->write(bytes);
        }
    };
    (void)wait_until([&] {
        dial_if_due();
        const auto closed = std::ranges::count_if(
            connections, [](auto& connection) { return connection.check_closed(); });
        return static_cast<std::size_t>(closed) == connection_count;
    });
    std::vector<duration> lifetimes;
    lifetimes.reserve(connections.size());
    for (const auto& connection : connections) {
        lifetimes.push_back(connection.lifetime_.value_or(duration(0)));
    }
    return lifetimes;
}

} // namespace sycamorewinch
