// Responses with each kind of HTTP/1.1 message framing.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

const auto both_paths = boost::unit_test::data::make({0, 1});

/** Sends \p request twice on one connection to a target that sends \p response each time; returns
 * the bytes received once both heads have arrived. */
auto responses_to_two(int index, std::string_view request, const std::string& response)
    -> std::string
{
    const scripted_server target([&](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            peer.clear();
            peer.write(response);
        }
    });
    node_fixture nodes(static_cast<call_path>(index), target.port());
    const auto caller = nodes.connect();
    caller->write(std::string(request) + std::string(request));
    BOOST_TEST(wait_until([&] {
        const auto& got = caller->received();
        const auto first = got.find("HTTP/1.1 ");
        const auto second = got.find("HTTP/1.1 ", first + 1);
        return second != std::string::npos && got.find("\r\n\r\n", second) != std::string::npos;
    }));
    return caller->received();
}

constexpr std::string_view get_request = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
constexpr std::string_view head_request = "HEAD /x HTTP/1.1\r\nhost: a\r\n\r\n";

} // namespace

BOOST_DATA_TEST_CASE(a_response_to_head_keeps_its_length_and_has_no_body, both_paths, index)
{
    const auto got =
        responses_to_two(index, head_request, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n");
    BOOST_TEST(got.find("content-length: 5") != std::string::npos);
    BOOST_TEST(got.ends_with("\r\n\r\n"));
}

BOOST_DATA_TEST_CASE(a_chunked_response_to_head_has_no_chunks, both_paths, index)
{
    const auto got = responses_to_two(index, head_request,
                                      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    BOOST_TEST(got.find("0\r\n\r\n") == std::string::npos);
}

BOOST_DATA_TEST_CASE(a_204_response_has_no_content_length, both_paths, index)
{
    const auto got = responses_to_two(index, get_request, "HTTP/1.1 204 No Content\r\n\r\n");
    BOOST_TEST(got.starts_with("HTTP/1.1 204"));
    BOOST_TEST(got.find("content-length") == std::string::npos);
}

BOOST_DATA_TEST_CASE(a_304_response_ends_with_its_head, both_paths, index)
{
    const auto got = responses_to_two(index, get_request,
                                      "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n");
    BOOST_TEST(got.find("HTTP/1.1 304") == 0U);
    BOOST_TEST(got.ends_with("\r\n\r\n"));
}

BOOST_DATA_TEST_CASE(an_interim_response_does_not_end_the_exchange, both_paths, index)
{
    const auto got = responses_to_two(index, get_request,
                                      "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
                                      "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    BOOST_TEST(got.starts_with("HTTP/1.1 200"));
    BOOST_TEST(got.find("103") == std::string::npos);
}

BOOST_DATA_TEST_CASE(trailers_are_dropped, both_paths, index)
{
    const auto got = responses_to_two(index, get_request,
                                      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                                      "1\r\na\r\n0\r\nlate: b\r\n\r\n");
    BOOST_TEST(got.find("late") == std::string::npos);
}
