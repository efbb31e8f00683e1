#include <boost/test/unit_test.hpp>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_text_string_over_the_limit_is_rejected)
{
    cbor_writer writer;
    writer.text("directory");
    const auto encoded = writer.take();
    cbor_reader reader(encoded);
    BOOST_TEST(reader.text(4).empty());
    BOOST_TEST((reader.finish().error().kind_ == error_kind::corrupt));
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
        reader.text(64);
        reader.bytes(64);
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
