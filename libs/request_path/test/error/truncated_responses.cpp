// A response that a target truncates never reaches the caller as a complete one.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

/** A target that answers each request with the same bytes and closes. */
struct responder {
    std::string response_;
    scripted_server server_{[this](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write(response_);
            peer.close();
        }
    }};
};

/** Calls a target that sends \p response and closes; returns what the caller received until its
 * connection was closed. */
auto response_before_close(int index, const std::string& response) -> std::string
{
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write(response);
            peer.close();
        }
    });
    node_fixture nodes(static_cast<call_path>(index), target.port());
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    return caller->received();
}

} // namespace

// Guards against a 200 with an empty or short body for a head that the target did not finish.
BOOST_DATA_TEST_CASE(a_head_that_breaks_off_at_any_byte_becomes_a_502, both_paths, index)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 4\r\n\r\n",
          "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"}) {
        responder target;
        const node_fixture nodes(static_cast<call_path>(index), target.server_.port());
        for (std::size_t length = 1; length < head.size(); ++length) {
            target.response_ = head.substr(0, length);
            const auto caller = nodes.connect();
            caller->write("GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
            BOOST_TEST_CONTEXT(target.response_)
            {
                BOOST_TEST(caller->received().starts_with("HTTP/1.1 502"));
                BOOST_TEST(is_complete_response(caller->received()));
            }
        }
    }
}

BOOST_DATA_TEST_CASE(a_truncated_short_response_becomes_a_502, both_paths, index)
{
    const auto got =
        response_before_close(index, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart of it");
    BOOST_TEST(got.starts_with("HTTP/1.1 502"));
    BOOST_TEST(got.find("part of it") == std::string::npos);
}

BOOST_DATA_TEST_CASE(a_truncated_streamed_response_stays_incomplete, both_paths, index)
{
    const auto got =
        response_before_close(index, "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\npart of it");
    BOOST_TEST(!is_complete_response(got));
}

BOOST_DATA_TEST_CASE(a_truncated_chunked_response_gets_no_final_chunk, both_paths, index)
{
    const auto got = response_before_close(
        index, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n");
    BOOST_TEST(got.find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(!is_complete_response(got) == !got.starts_with("HTTP/1.1 502"));
}

BOOST_DATA_TEST_CASE(a_response_ended_by_connection_close_is_complete, both_paths, index)
{
    const auto got = response_before_close(index, "HTTP/1.1 200 OK\r\n\r\nall of it");
    BOOST_TEST(got.find("all of it") != std::string::npos);
    BOOST_TEST(got.ends_with("0\r\n\r\n"));
}

BOOST_DATA_TEST_CASE(a_large_response_ended_by_connection_close_reaches_a_slow_caller, both_paths,
                     index)
{
    constexpr std::size_t body_bytes = 8U * 1024 * 1024;
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(body_bytes, 'b'));
            peer.close();
        }
    });
    node_fixture nodes(static_cast<call_path>(index), target.port());
    const auto caller = nodes.connect();
    caller->pause_reading(true);
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    run_events(std::chrono::milliseconds(200));
    caller->pause_reading(false);
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("\r\n0\r\n\r\n"); }));
    BOOST_TEST(caller->bytes_received() > body_bytes);
}
