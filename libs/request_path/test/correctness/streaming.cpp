// Large bodies pass through a node with back pressure, which bounds the memory of the node.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/core.h>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});
constexpr std::uint64_t body_bytes = 300ULL * 1024 * 1024;
/** The documented memory of a node. The bytes in all socket buffers and queues on the way must stay
 * below it. */
constexpr std::uint64_t node_memory_bytes = 64ULL * 1024 * 1024;
constexpr std::size_t part_bytes = 256U * 1024;

/** Writes a body as fast as the socket accepts it. */
struct body_writer {
    loopback_socket& socket_;
    std::uint64_t written_ = 0;

    void write_more()
    {
        static const std::string part(part_bytes, 'b');
        while (written_ < body_bytes && socket_.queued_bytes() < part_bytes) {
            socket_.write(part);
            written_ += part.size();
        }
    }

    [[nodiscard]] auto sent() const -> std::uint64_t { return written_ - socket_.queued_bytes(); }
};

/** Writes until the socket accepts nothing for quiet_period; returns the number of bytes sent. */
auto write_until_blocked(body_writer& writer) -> std::uint64_t
{
    constexpr std::chrono::milliseconds quiet_period{300};
    std::uint64_t before = 0;
    do {
        before = writer.sent();
        const auto end = std::chrono::steady_clock::now() + quiet_period;
        (void)wait_until([&] {
            writer.write_more();
            return std::chrono::steady_clock::now() > end;
        });
    } while (writer.sent() != before && writer.sent() < body_bytes);
    return writer.sent();
}

void check_large_request_streams_with_bounded_memory(call_path path)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.bytes_received() < part_bytes) {
            peer.count_only();
        }
    });
    node_fixture nodes(path, target.port());
    const auto caller = nodes.connect();
    caller->write(
        fmt::format("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", body_bytes));
    BOOST_TEST(wait_until([&] { return !target.connections().empty(); }));
    auto& peer = *target.connections().front();
    peer.pause_reading(true);
    body_writer writer{*caller};
    BOOST_TEST(write_until_blocked(writer) < node_memory_bytes);
    peer.pause_reading(false);
    BOOST_TEST(wait_until([&] {
        writer.write_more();
        return peer.bytes_received() >= body_bytes;
    }));
    peer.write(make_response("stored"));
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("stored"); }));
}

void check_large_response_streams_with_bounded_memory(call_path path)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write(fmt::format("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body_bytes));
        }
    });
    node_fixture nodes(path, target.port());
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return !caller->received().empty(); }));
    caller->pause_reading(true);
    caller->count_only();
    body_writer writer{*target.connections().front()};
    BOOST_TEST(write_until_blocked(writer) < node_memory_bytes);
    caller->pause_reading(false);
    BOOST_TEST(wait_until([&] {
        writer.write_more();
        return caller->bytes_received() > body_bytes;
    }));
}

} // namespace

BOOST_DATA_TEST_CASE(a_large_request_streams_with_bounded_memory, both_paths, index)
{
    check_large_request_streams_with_bounded_memory(static_cast<call_path>(index));
}

BOOST_DATA_TEST_CASE(a_large_response_streams_with_bounded_memory, both_paths, index)
{
    check_large_response_streams_with_bounded_memory(static_cast<call_path>(index));
}
