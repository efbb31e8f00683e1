#include <boost/test/unit_test.hpp>

#include "http1/http1_parser.h"

using namespace sycamorewinch;

namespace {

struct seen {
    std::string body_;
    bool ended_ = false;
    http1_problem problem_ = http1_problem::none;
};

auto parse(std::string_view bytes, http1_limits limits = {}) -> seen
{
    seen result;
    auto parser = http1_parser::for_request(limits, {[](const auto&) {},
                                                     [&](auto part) { result.body_ += part; },
                                                     [&] {
                                                         result.ended_ = true;
                                                     }});
    std::string input(bytes);
    while (!input.empty()) {
        const auto used = parser.feed(input);
        input.erase(0, used);
        if (used == 0) {
            break;
        }
    }
    result.problem_ = parser.problem();
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(smuggling_shapes_are_refused)
{
    const auto* both = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    BOOST_TEST((parse(both).problem_ == http1_problem::malformed));
    const auto* two =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
    BOOST_TEST((parse(two).problem_ == http1_problem::malformed));
    const auto* bad_chunk =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    BOOST_TEST((parse(bad_chunk).problem_ == http1_problem::malformed));
    const auto* bare_feed = "GET / HTTP/1.1\nHost: a\n\n";
    BOOST_TEST((parse(bare_feed).problem_ == http1_problem::malformed));
}

BOOST_AUTO_TEST_CASE(limits_are_kept)
{
    const auto long_header =
        "GET / HTTP/1.1\r\nHost: a\r\nA: " + std::string(20'000, 'x') + "\r\n\r\n";
    BOOST_TEST((parse(long_header).problem_ == http1_problem::header_too_large));
    http1_limits limits;
    limits.body_bytes_ = 2;
    const auto* body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    BOOST_TEST((parse(body, limits).problem_ == http1_problem::body_too_large));
}

BOOST_AUTO_TEST_CASE(a_body_arrives_whole)
{
    const auto whole = parse("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(whole.body_ == "abcde");
    BOOST_TEST(whole.ended_);
}
