#include <boost/test/unit_test.hpp>

#include "base/field_limits.h"
#include "daemon/client_limits.h"
#include "transport/reuse_port_listener.h"

using namespace sycamorewinch;

namespace {

auto limits_with(daemon_role role, std::uint64_t memory_mb, unsigned descriptors, unsigned workers)
    -> client_limits
{
    daemon_settings settings;
    settings.role_ = role;
    settings.memory_limit_bytes_ = memory_mb * 1024 * 1024;
    settings.descriptor_limit_ = descriptors;
    settings.workers_ = workers;
    return client_limits_for(settings);
}

auto memory_of(const client_limits& limits, memory_use use) -> std::uint64_t
{
    return limits.memory_.at(static_cast<std::size_t>(use));
}

} // namespace

// Counts what is held, and what may wait in the receive buffers of the system.
BOOST_AUTO_TEST_CASE(clients_leave_memory_and_descriptors_for_the_program)
{
    constexpr std::uint64_t addresses = 3; // besides that of callers
    for (const std::uint64_t memory_mb : {80, 160, 260, 4'096}) {
        for (const unsigned descriptors : {64U, 600U, 4'100U, 100'000U}) {
            const auto limits = limits_with(daemon_role::node, memory_mb, descriptors, 1);
            const auto connections =
                limits.caller_connections_ + addresses * limits.interface_connections_;
            const auto held = memory_of(limits, memory_use::calls) +
                              memory_of(limits, memory_use::interfaces) +
                              connections * client_receive_buffer_memory;
            BOOST_TEST(held <= memory_mb * 1024 * 1024 * 5 / 8);
            BOOST_TEST(connections <= descriptors / 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_control_process_has_room_for_the_largest_request)
{
    const auto limits = limits_with(daemon_role::control, 256, 4'096, 1);
    BOOST_TEST(memory_of(limits, memory_use::interfaces) >= 2U * max_document_bytes);
}

BOOST_AUTO_TEST_CASE(workers_share_the_connections_of_callers)
{
    const auto one = limits_with(daemon_role::node, 260, 4'100, 1);
    const auto four = limits_with(daemon_role::node, 260, 4'100, 4);
    BOOST_TEST(four.caller_connections_ == one.caller_connections_ / 4);
}
