#include <boost/test/unit_test.hpp>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(each_supported_item_type_round_trips)
{
    const digest original_digest{1, 0xfedcba9876543210};
    cbor_writer writer;
    writer.array(7).number(42).text("directory").bytes(std::string("\0\xff", 2)).boolean(true);
    writer.real(1.5).digest_value(original_digest);
    writer.array(0);
    const auto encoded = writer.take();

    cbor_reader reader(encoded);
    reader.array(7);
    BOOST_TEST(reader.number() == 42);
    BOOST_TEST(reader.text() == "directory");
    BOOST_TEST(reader.bytes() == std::string("\0\xff", 2));
    BOOST_TEST(reader.boolean());
    BOOST_TEST(reader.real() == 1.5);
    BOOST_TEST((reader.digest_value() == original_digest));
    BOOST_TEST(reader.list() == 0);
    BOOST_TEST(reader.finish().has_value());
}
