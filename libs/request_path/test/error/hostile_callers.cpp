// What a node answers to callers that break the protocol, leave, or are slow.
#include <boost/test/unit_test.hpp>

#include <array>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

/** A target that answers each request without a body by repeating its head. */
struct echo_target {
    unsigned requests_ = 0;
    raw_server server_{[this](raw_socket& peer) {
        if (peer.received().ends_with("\r\n\r\n")) {
            ++requests_;
            const auto head = peer.received();
            peer.clear();
            peer.write(answer_with(head));
        }
    }};
};

/** Returns the first line of the answer to \p bytes. */
auto answer_to(const std::string& bytes) -> std::string
{
    const echo_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto caller = nodes.call();
    caller->write(bytes);
    BOOST_TEST(
        wait_until([&] { return holds_whole_answer(caller->received()) || caller->is_closed(); }));
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
            BOOST_TEST(answer_to(input).starts_with("HTTP/1.1 400"));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_header_past_the_limit_is_answered_431)
{
    const auto long_field = std::string(20'000, 'x');
    BOOST_TEST(answer_to("GET /x HTTP/1.1\r\nhost: a\r\nb: " + long_field + "\r\n\r\n")
                   .starts_with("HTTP/1.1 431"));
}

BOOST_AUTO_TEST_CASE(a_body_past_the_limit_is_answered_413_before_it_is_sent)
{
    BOOST_TEST(answer_to("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n")
                   .starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(a_folded_field_reaches_the_target_in_one_line)
{
    const auto answer = answer_to("GET /x HTTP/1.1\r\nhost: a\r\nb: c\r\n d\r\n\r\n");
    BOOST_TEST(answer.find("\r\n d") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_absolute_target_reaches_the_target_as_a_path)
{
    const auto answer = answer_to("GET http://a/y?z HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(answer.find("GET /y?z HTTP/1.1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_upgrade_is_not_passed_on)
{
    const auto answer = answer_to("GET /x HTTP/1.1\r\nhost: a\r\nconnection: upgrade, b\r\n"
                                  "upgrade: websocket\r\nb: c\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("websocket") == std::string::npos);
    BOOST_TEST(answer.find("b: c") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_connection_field_cannot_strip_what_carries_meaning)
{
    const auto answer = answer_to("GET /x HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\n"
                                  "connection: host, idempotency-key, content-typ\r\n"
                                  "content-type: t\r\n\r\n");
    BOOST_TEST(answer.find("host: a") != std::string::npos);
    BOOST_TEST(answer.find("idempotency-key: k") != std::string::npos);
    BOOST_TEST(answer.find("content-type: t") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_http_1_0_caller_is_answered_and_closed)
{
    const echo_target target;
    node_fixture nodes(call_path::local, target.server_.port());
    const auto caller = nodes.call();
    caller->write("GET /x HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->is_closed(); }));
    BOOST_TEST(holds_whole_answer(caller->received()));
    BOOST_TEST(caller->received().find("connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_caller_that_waits_for_100_is_told_to_go_on)
{
    const raw_server target([](raw_socket& peer) {
        if (peer.received().ends_with("body")) {
            peer.write(answer_with("stored"));
        }
    });
    node_fixture nodes(call_path::local, target.port());
    const auto caller = nodes.call();
    caller->write("POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
                  "content-length: 4\r\n\r\n");
    BOOST_TEST(wait_until([&] { return caller->received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    caller->write("body");
    BOOST_TEST(wait_until([&] { return caller->received().ends_with("stored"); }));
}

BOOST_AUTO_TEST_CASE(a_caller_that_ends_its_side_early_cancels_its_call)
{
    const raw_server target([](raw_socket&) {});
    node_fixture nodes(call_path::local, target.port());
    const auto caller = nodes.call();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return !target.connections().empty(); }));
    caller->half_close();
    BOOST_TEST(wait_until([&] { return target.connections().front()->is_closed(); }));
    BOOST_TEST(wait_until([&] { return nodes.front().state_.calls_in_flight() == 0; }));
}

BOOST_AUTO_TEST_CASE(a_refusal_reaches_a_caller_that_is_still_sending)
{
    auto row = test_row();
    row.path_prefix_ = "/other";
    node_fixture nodes(call_path::local, 1, row);
    const auto caller = nodes.call();
    constexpr std::size_t body_bytes = 4U * 1024 * 1024;
    caller->write("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body_bytes) +
                  "\r\n\r\n" + std::string(body_bytes, 'b'));
    BOOST_TEST(wait_until([&] { return holds_whole_answer(caller->received()); }));
    BOOST_TEST(caller->received().starts_with("HTTP/1.1 404"));
}
