#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

using namespace sycamorewinch;

namespace {

/** Returns the head of a CBOR item of \p major type that declares a length of 2^40, and 3 bytes. */
auto make_oversized_item(unsigned major) -> std::string
{
    constexpr unsigned major_shift = 5;
    constexpr unsigned eight_byte_length = 27;
    const auto head = static_cast<char>((major << major_shift) | eight_byte_length);
    return head + std::string("\0\0\1\0\0\0\0\0", 8) + "abc";
}

constexpr unsigned byte_string = 2;
constexpr unsigned text_string = 3;
constexpr unsigned array = 4;

} // namespace

// A reader has no other limit than its input: a longer declared length must cost neither memory nor
// time.
BOOST_AUTO_TEST_CASE(a_length_beyond_the_input_is_rejected)
{
    const auto is_rejected = [](unsigned major, const auto& read) {
        const auto encoded = make_oversized_item(major);
        cbor_reader reader(encoded);
        read(reader);
        const auto finished = reader.finish();
        return !finished && finished.error().kind_ == error_kind::corrupt;
    };
    BOOST_TEST(is_rejected(text_string, [](auto& reader) { BOOST_TEST(reader.text().empty()); }));
    BOOST_TEST(is_rejected(byte_string, [](auto& reader) { BOOST_TEST(reader.bytes().empty()); }));
    BOOST_TEST(is_rejected(array, [](auto& reader) { BOOST_TEST(reader.list() == 0U); }));
    for (const auto major : {byte_string, text_string, array}) {
        BOOST_TEST(is_rejected(major, [](auto& reader) { BOOST_TEST(reader.item().empty()); }));
    }
}

BOOST_AUTO_TEST_CASE(a_text_string_that_is_not_utf8_is_rejected)
{
    for (const std::string_view text : {"\xc3", "\xff", "\xed\xa0\x80"}) {
        cbor_writer writer;
        const auto encoded = writer.text(text).take();
        cbor_reader reader(encoded);
        BOOST_TEST(reader.text().empty());
        BOOST_TEST(!reader.finish().has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_item_that_is_skipped_does_not_affect_the_next_one)
{
    cbor_writer writer;
    writer.array(3).array(2).text("\xff").number(1).text("dialer").array(0);
    const auto encoded = writer.take();
    cbor_reader reader(encoded);
    reader.array(3);
    cbor_reader item_reader(reader.item());
    item_reader.array(2);
    item_reader.text();
    BOOST_TEST(!item_reader.finish().has_value());
    BOOST_TEST(reader.text() == "dialer");
    BOOST_TEST(reader.item().size() == 1U);
    BOOST_TEST(reader.finish().has_value());
}

BOOST_AUTO_TEST_CASE(deeply_nested_items_are_rejected)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string encoded(depth, '\x81'); // an array of one item
    cbor_reader reader(encoded);
    BOOST_TEST(reader.item().empty());
    BOOST_TEST(!reader.finish().has_value());
}

BOOST_AUTO_TEST_CASE(input_truncated_at_any_length_is_rejected)
{
    cbor_writer writer;
    writer.array(3).number(1000).text("dialer").bytes("xyz");
    const auto encoded = writer.take();
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        const auto truncated = encoded.substr(0, length);
        cbor_reader reader(truncated);
        reader.array(3);
        reader.number();
        reader.text();
        reader.bytes();
        BOOST_TEST(!reader.finish().has_value());
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_the_last_item_are_rejected)
{
    const std::string encoded("\x01\x01", 2);
    cbor_reader reader(encoded);
    reader.number();
    BOOST_TEST(!reader.finish().has_value());
}

// Guards against a reader that never returns: behind the text is a simple value that is not well
// formed, at which the array has no next item and cannot be left.
BOOST_AUTO_TEST_CASE(a_malformed_item_in_an_array_is_rejected)
{
    const std::string encoded("\x84\x07\x62"
                              "ab\xf8\x01\x2c\x41\x78");
    cbor_reader reader(encoded);
    reader.array(4);
    BOOST_TEST(reader.number() == 7U);
    BOOST_TEST(reader.text() == "ab");
    reader.number();
    reader.bytes();
    BOOST_TEST(!reader.finish().has_value());
}

BOOST_AUTO_TEST_CASE(damaged_items_are_read_or_rejected)
{
    constexpr int rounds = 200'000;
    const auto random = seeded_random(43);
    cbor_writer writer;
    writer.array(4).number(7).text("ab").array(2).number(300).boolean(true).bytes("x");
    const auto valid = writer.take();
    int rejected = 0;
    for (int round = 0; round < rounds; ++round) {
        auto damaged = valid;
        for (auto left = 1 + uniform_below(random, 3); left > 0; --left) {
            damaged[uniform_below(random, damaged.size())] = static_cast<char>(random());
        }
        cbor_reader reader(damaged);
        reader.array(4);
        reader.number();
        reader.text();
        reader.item();
        reader.bytes();
        rejected += reader.finish() ? 0 : 1;
    }
    BOOST_TEST(rejected > 0);
    BOOST_TEST(rejected < rounds);
}
