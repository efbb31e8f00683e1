#include <boost/test/unit_test.hpp>

#include "http1/http1_parser.h"

using namespace sycamorewinch;

namespace {

struct parse_result {
    std::string body_;
    bool ended_ = false;
    http1_parse_error parse_error_ = http1_parse_error::none;
};

auto parse(std::string_view bytes, http1_limits limits = {}) -> parse_result
{
    parse_result result;
    auto parser = http1_parser::for_request(
        limits, {[](const auto&) {}, [&](auto body_bytes) { result.body_ += body_bytes; },
                 [&] {
                     result.ended_ = true;
                 }});
    std::string input(bytes);
    while (!input.empty()) {
        const auto consumed = parser.feed(input);
        input.erase(0, consumed);
        if (consumed == 0) {
            break;
        }
    }
    result.parse_error_ = parser.parse_error();
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(ambiguous_or_malformed_framing_is_rejected)
{
    const auto* two_framings = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    BOOST_TEST((parse(two_framings).parse_error_ == http1_parse_error::malformed));
    const auto* conflicting_lengths =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
    BOOST_TEST((parse(conflicting_lengths).parse_error_ == http1_parse_error::malformed));
    const auto* bad_chunk =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    BOOST_TEST((parse(bad_chunk).parse_error_ == http1_parse_error::malformed));
    const auto* bare_line_feed = "GET / HTTP/1.1\nHost: a\n\n";
    BOOST_TEST((parse(bare_line_feed).parse_error_ == http1_parse_error::malformed));
}

BOOST_AUTO_TEST_CASE(size_limits_are_enforced)
{
    const auto long_header =
        "GET / HTTP/1.1\r\nHost: a\r\nA: " + std::string(20'000, 'x') + "\r\n\r\n";
    BOOST_TEST((parse(long_header).parse_error_ == http1_parse_error::header_too_large));
    http1_limits limits;
    limits.body_bytes_ = 2;
    const auto* body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    BOOST_TEST((parse(body, limits).parse_error_ == http1_parse_error::body_too_large));
}

BOOST_AUTO_TEST_CASE(endless_chunk_lines_and_trailers_are_rejected)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string many(20'000, '0');
    const auto error_of = [&](const std::string& body) {
        return parse(head + body).parse_error_;
    };
    BOOST_TEST((error_of(many) == http1_parse_error::header_too_large));
    BOOST_TEST((error_of("3;a=" + many) == http1_parse_error::header_too_large));
    BOOST_TEST((error_of("3\r\nabc\r\n0\r\na: " + many) == http1_parse_error::header_too_large));
}

BOOST_AUTO_TEST_CASE(chunked_body_is_decoded_completely)
{
    const auto chunked = parse("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(chunked.body_ == "abcde");
    BOOST_TEST(chunked.ended_);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_passed_again_without_more_bytes_are_not_parsed_again)
{
    for (const std::string body : {"0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", "0\r\na: b\r\n\r\n"}) {
        const auto message =
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
        for (std::size_t cut = 1; cut < message.size(); ++cut) {
            bool ended = false;
            auto parser = http1_parser::for_request({}, {[](const auto&) {}, [](auto) {},
                                                         [&ended] {
                                                             ended = true;
                                                         }});
            std::size_t start = 0;
            for (const auto available : {cut, cut, message.size()}) {
                const auto arrived = std::string_view(message).substr(0, available);
                while (start < arrived.size() && !ended) {
                    const auto consumed = parser.feed(arrived.substr(start));
                    start += consumed;
                    if (consumed == 0) {
                        break;
                    }
                }
            }
            BOOST_TEST(ended);
        }
    }
}

BOOST_AUTO_TEST_CASE(tiny_chunks_that_arrive_together_are_passed_on_together)
{
    constexpr std::size_t chunk_count = 5'000;
    std::string message = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t index = 0; index < chunk_count; ++index) {
        message += "1\r\nx\r\n";
    }
    std::size_t parts = 0;
    std::string body;
    auto parser = http1_parser::for_request({}, {[](const auto&) {},
                                                 [&](auto bytes) {
                                                     ++parts;
                                                     body += bytes;
                                                 },
                                                 [] {
                                                 }});
    parser.feed(message);
    BOOST_TEST(parts == 1);
    BOOST_TEST((body == std::string(chunk_count, 'x')));
}
