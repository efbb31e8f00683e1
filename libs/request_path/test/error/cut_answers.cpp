// An answer that a target cut short never reaches the caller as whole.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

/** Calls a target that answers \p answer and closes; returns what the caller got until the end of
 * its connection. */
auto call_target_that_closes_after(int index, const std::string& answer) -> std::string
{
    const raw_server target([&](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write(answer);
            peer.close();
        }
    });
    node_fixture nodes(static_cast<call_path>(index), target.port());
    const auto caller = nodes.call();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    return caller->received();
}

} // namespace

BOOST_DATA_TEST_CASE(a_fixed_length_that_is_not_met_stays_unmet, both_paths, index)
{
    const auto got = call_target_that_closes_after(
        index, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart of it");
    BOOST_TEST(got.starts_with("HTTP/1.1 502"));
    BOOST_TEST(got.find("part of it") == std::string::npos);
}

BOOST_DATA_TEST_CASE(a_length_too_long_to_be_held_stays_unmet, both_paths, index)
{
    const auto got = call_target_that_closes_after(
        index, "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\npart of it");
    BOOST_TEST(!holds_whole_answer(got));
}

BOOST_DATA_TEST_CASE(a_chunked_body_without_its_end_stays_without, both_paths, index)
{
    const auto got = call_target_that_closes_after(
        index, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n");
    BOOST_TEST(got.find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(!holds_whole_answer(got) == !got.starts_with("HTTP/1.1 502"));
}

BOOST_DATA_TEST_CASE(a_body_until_the_end_of_the_connection_is_whole, both_paths, index)
{
    const auto got = call_target_that_closes_after(index, "HTTP/1.1 200 OK\r\n\r\nall of it");
    BOOST_TEST(got.find("all of it") != std::string::npos);
    BOOST_TEST(got.ends_with("0\r\n\r\n"));
}

BOOST_DATA_TEST_CASE(a_large_body_until_the_end_survives_a_slow_caller, both_paths, index)
{
    constexpr std::size_t body_bytes = 8U * 1024 * 1024;
    const raw_server target([&](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(body_bytes, 'b'));
            peer.close();
        }
    });
    node_fixture nodes(static_cast<call_path>(index), target.port());
    const auto caller = nodes.call();
    caller->pause_reading(true);
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    run_events(std::chrono::milliseconds(200));
    caller->pause_reading(false);
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("\r\n0\r\n\r\n"); }));
    BOOST_TEST(caller->bytes_received() > body_bytes);
}
