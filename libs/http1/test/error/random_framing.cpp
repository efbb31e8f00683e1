// Messages with odd framing that arrive in pieces. Asserts of the parser's library end a process,
// so none may be reached by any bytes, however they are cut.
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <vector>

#include "base/random.h"
#include "http1/http1_parser.h"

using namespace sycamorewinch;

namespace {

/** What a parser has made of some bytes. */
struct outcome {
    std::string body_;
    bool is_done_ = false;
    bool is_rejected_ = false;

    [[nodiscard]] auto operator==(const outcome&) const -> bool = default;
};

auto operator<<(std::ostream& out, const outcome& value) -> std::ostream&
{
    return out << (value.is_rejected_ ? "rejected"
                   : value.is_done_   ? "done"
                                      : "incomplete")
               << ", " << value.body_.size() << " bytes of body";
}

/** Reads \p message as a connection does: in pieces that end at \p ends, and once more without
 * further bytes after each of them, as when reading is resumed. */
auto read_in_pieces(const std::string& message, bool is_request,
                    const std::vector<std::size_t>& ends, bool is_closed) -> outcome
{
    outcome result;
    http1_parser_hooks hooks{[](const auto&) {}, [&](auto bytes) { result.body_ += bytes; },
                             [] {
                             }};
    auto parser = is_request ? http1_parser::for_request({}, std::move(hooks))
                             : http1_parser::for_response("GET", {}, std::move(hooks));
    std::string input;
    std::size_t arrived = 0;
    const auto is_open = [&parser] {
        return !parser.is_done() && parser.parse_error() == http1_parse_error::none;
    };
    const auto parse = [&] {
        std::size_t start = 0;
        while (start < input.size() && is_open()) {
            const auto consumed = parser.feed(std::string_view(input).substr(start));
            start += consumed;
            if (consumed == 0) {
                break;
            }
        }
        input.erase(0, start);
    };
    for (const auto end : ends) {
        input += message.substr(arrived, end - arrived);
        arrived = end;
        parse();
        parse();
    }
    if (is_closed && is_open()) {
        parser.feed_eof();
    }
    result.is_done_ = parser.is_done();
    result.is_rejected_ = parser.parse_error() != http1_parse_error::none;
    return result;
}

/** Returns the outcome of \p message in one piece. */
auto read_whole(const std::string& message, bool is_request, bool is_closed) -> outcome
{
    return read_in_pieces(message, is_request, {message.size()}, is_closed);
}

const std::array<std::string, 22> chunk_lines{"0",
                                              "00",
                                              "0 ",
                                              " 0",
                                              "0;a",
                                              "0;a=b",
                                              "0;a=\"b\"",
                                              "0;a=\"b",
                                              "0;",
                                              "0; a = b",
                                              "3",
                                              "3;a=b",
                                              "00000003",
                                              "ffffffffffffffff",
                                              "10000000000000000",
                                              "-1",
                                              "+3",
                                              "",
                                              "0x3",
                                              "3 ;a",
                                              "\t3",
                                              "zz"};
const std::array<std::string, 9> chunk_ends{
    "\r\n", "\n", "\r", "\r\n\r\n", "", "\r\r\n", "x\r\n", "\r\n ", std::string("\0\r\n", 3)};
const std::array<std::string, 8> trailers{
    "", "a: b\r\n", "a\r\n", ": b\r\n", "a: b\r\n c\r\n", "a:b", "content-length: 3\r\n", "\t\r\n"};
const std::array<std::string, 6> lengths{
    "transfer-encoding: chunked\r\n", "transfer-encoding: chunked\r\n",
    "transfer-encoding: chunked\r\n", "content-length: 3\r\n",
    "content-length: 0\r\n",          ""};
const std::array<std::string, 4> statuses{"200 OK", "204 No Content", "100 Continue", "503"};

template <std::size_t Size>
auto draw(const random_hook& random, const std::array<std::string, Size>& texts) -> std::string
{
    return texts.at(uniform_below(random, Size));
}

/** Returns a message with a body that is framed correctly in about half of the cases. */
auto draw_message(const random_hook& random, bool is_request) -> std::string
{
    const bool is_plain = uniform_below(random, 2) == 0;
    auto message = is_request ? std::string("POST / HTTP/1.1\r\nhost: a\r\n")
                              : "HTTP/1.1 " + draw(random, statuses) + "\r\n";
    message += draw(random, lengths) + "\r\n";
    for (auto chunks = uniform_below(random, 4); chunks > 0; --chunks) {
        message += is_plain ? "3\r\nabc\r\n"
                            : draw(random, chunk_lines) + draw(random, chunk_ends) + "abc" +
                                  draw(random, chunk_ends);
    }
    message += is_plain ? "0\r\n\r\n"
                        : draw(random, chunk_lines) + draw(random, chunk_ends) +
                              draw(random, trailers) + draw(random, chunk_ends);
    if (uniform_below(random, 3) == 0) { // bytes after the end, or a second message
        message += uniform_below(random, 2) == 0 ? "extra" : message;
    }
    if (uniform_below(random, 3) == 0) {
        message.at(uniform_below(random, message.size())) =
            static_cast<char>(uniform_below(random, 256));
    }
    return message;
}

auto number_from(const char* variable, std::uint64_t otherwise) -> std::uint64_t
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against a node that ends by an assertion when the last bytes of an empty chunked body come
// later than the line before them, or not at all.
BOOST_AUTO_TEST_CASE(an_empty_chunked_body_may_arrive_in_any_pieces)
{
    for (const bool is_request : {true, false}) {
        std::string head = is_request ? "POST / HTTP/1.1\r\nhost: a\r\n" : "HTTP/1.1 200 OK\r\n";
        head += "transfer-encoding: chunked\r\n\r\n";
        for (const std::string end : {"0\r\n\r\n", "0;a=b\r\n\r\n", "0\r\na: b\r\n\r\n"}) {
            const auto message = head + end;
            for (std::size_t first = 1; first < message.size(); ++first) {
                const auto cut_short = read_in_pieces(message, is_request, {first}, true);
                BOOST_TEST(!cut_short.is_done_);
                BOOST_TEST(cut_short.is_rejected_);
                for (auto second = first; second < message.size(); ++second) {
                    const auto whole =
                        read_in_pieces(message, is_request, {first, second, message.size()}, true);
                    BOOST_REQUIRE(whole == (outcome{"", true, false}));
                }
            }
        }
    }
}

// For long runs: SYCAMOREWINCH_FRAMINGS=1000000 SYCAMOREWINCH_SEED=2 http1_test
// --run_test=odd_framing*
BOOST_AUTO_TEST_CASE(odd_framing_is_read_or_rejected_however_it_is_cut)
{
    const auto random = seeded_random(number_from("SYCAMOREWINCH_SEED", 1));
    std::size_t done = 0;
    std::size_t rejected = 0;
    for (auto remaining = number_from("SYCAMOREWINCH_FRAMINGS", 20'000); remaining > 0;
         --remaining) {
        const bool is_request = uniform_below(random, 2) == 0;
        const bool is_closed = uniform_below(random, 2) == 0;
        const auto message = draw_message(random, is_request);
        const auto whole = read_whole(message, is_request, is_closed);
        done += whole.is_done_ ? 1 : 0;
        rejected += whole.is_rejected_ ? 1 : 0;
        std::vector<std::size_t> ends;
        for (std::size_t end = 0; end < message.size();) {
            end = std::min(message.size(), end + 1 + uniform_below(random, 12));
            ends.push_back(end);
        }
        const auto in_pieces = read_in_pieces(message, is_request, ends, is_closed);
        BOOST_REQUIRE_MESSAGE(in_pieces.is_done_ == whole.is_done_ &&
                                  (!whole.is_done_ || in_pieces == whole),
                              "'" << message << "': " << whole << "; in pieces: " << in_pieces);
    }
    BOOST_TEST_MESSAGE(done << " read to their end, " << rejected << " rejected");
    BOOST_TEST(done > 0);
    BOOST_TEST(rejected > 0);
}
