// Callers that violate the protocol, disconnect early, or are still sending when they are refused.
#include <boost/test/unit_test.hpp>

#include <array>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

/** A target that responds to each request without a body with the request's head as the body. */
struct echo_target {
    unsigned requests_ = 0;
    scripted_server server_{[this](loopback_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            ++requests_;
            const auto head = peer.received();
            peer.clear();
            peer.write(make_response(head));
        }
    }};
};

/** Sends \p bytes as a caller; returns what the caller receives. */
auto response_to(const std::string& bytes) -> std::string
{
    const echo_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto caller = nodes.connect();
    caller->write(bytes);
    BOOST_TEST(wait_until(
        [&] { return is_complete_response(caller->received()) || caller->is_closed(); }));
    return caller->received();
}

} // namespace

BOOST_AUTO_TEST_CASE(malformed_requests_are_refused_and_reach_no_target)
{
    const std::array<std::string, 13> inputs{
        "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        "POST /x HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc",
        "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 4\r\n\r\nabc",
        "GET /x HTTP/1.1\nhost: a\n\n",
        "GET /x HTTP/1.1\r\nhost: a\r\nb\x01: c\r\n\r\n",
        "GET /x HTTP/1.1\r\nhost: a\r\nb: c\x01\r\n\r\n",
        "GET /x HTTP/1.1\r\nhost : a\r\n\r\n",
        "GET /x HTTP/1.1\r\n\r\n",
        "GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
        "CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET x HTTP/1.1\r\nhost: a\r\n\r\n",
    };
    for (const auto& input : inputs) {
        BOOST_TEST_CONTEXT(input)
        {
            BOOST_TEST(response_to(input).starts_with("HTTP/1.1 400"));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_header_over_the_limit_gets_431)
{
    const auto long_field = std::string(20'000, 'x');
    BOOST_TEST(response_to("GET /x HTTP/1.1\r\nhost: a\r\nb: " + long_field + "\r\n\r\n")
                   .starts_with("HTTP/1.1 431"));
}

BOOST_AUTO_TEST_CASE(a_content_length_over_the_limit_gets_413_before_the_body_is_sent)
{
    BOOST_TEST(response_to("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n")
                   .starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(a_folded_header_field_is_unfolded)
{
    const auto response = response_to("GET /x HTTP/1.1\r\nhost: a\r\nb: c\r\n d\r\n\r\n");
    BOOST_TEST(response.find("\r\n d") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_absolute_form_request_target_is_sent_as_a_path)
{
    const auto response = response_to("GET http://a/y?z HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(response.find("GET /y?z HTTP/1.1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_upgrade_is_not_forwarded)
{
    const auto response = response_to("GET /x HTTP/1.1\r\nhost: a\r\nconnection: upgrade, b\r\n"
                                      "upgrade: websocket\r\nb: c\r\n\r\n");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.find("websocket") == std::string::npos);
    BOOST_TEST(response.find("b: c") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_connection_field_cannot_remove_end_to_end_fields)
{
    const auto response = response_to("GET /x HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\n"
                                      "connection: host, idempotency-key, content-typ\r\n"
                                      "content-type: t\r\n\r\n");
    BOOST_TEST(response.find("host: a") != std::string::npos);
    BOOST_TEST(response.find("idempotency-key: k") != std::string::npos);
    BOOST_TEST(response.find("content-type: t") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_http_1_0_caller_gets_a_response_and_connection_close)
{
    const echo_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    BOOST_TEST(is_complete_response(caller->received()));
    BOOST_TEST(caller->received().find("connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_caller_that_expects_100_continue_receives_it)
{
    const scripted_server target([](loopback_socket& peer) {
        if (peer.received().ends_with("body")) {
            peer.write(make_response("stored"));
        }
    });
    node_fixture nodes(call_path::local, target.port());
    const auto caller = nodes.connect();
    caller->write("POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
                  "content-length: 4\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    caller->write("body");
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("stored"); }));
}

BOOST_AUTO_TEST_CASE(a_caller_that_half_closes_cancels_its_call)
{
    const scripted_server target([](loopback_socket&) {});
    node_fixture nodes(call_path::local, target.port());
    const auto caller = nodes.connect();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return !target.connections().empty(); }));
    caller->half_close();
    BOOST_TEST(wait_until([&] { return target.connections().front()->is_closed(); }));
    BOOST_TEST(wait_until([&] { return nodes.entry_node().state_.calls_in_flight() == 0; }));
}

BOOST_AUTO_TEST_CASE(a_refusal_reaches_a_caller_that_is_still_sending)
{
    auto row = unrepeatable_row();
    row.path_prefix_ = "/other";
    node_fixture nodes(call_path::local, 1, row);
    const auto caller = nodes.connect();
    constexpr std::size_t body_bytes = 4U * 1024 * 1024;
    caller->write("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body_bytes) +
                  "\r\n\r\n" + std::string(body_bytes, 'b'));
    BOOST_TEST(wait_until([&] { return is_complete_response(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 404"));
}
