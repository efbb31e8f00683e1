#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "distribution/compressed_message.h"

using namespace sycamorewinch;

namespace {

/** A text that compresses badly by itself. */
auto long_text() -> std::string
{
    constexpr int words = 20'000;
    const auto random = seeded_random(1);
    std::string text;
    for (int index = 0; index < words; ++index) {
        text += random_identifier(random).substr(0, 8);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(what_two_texts_have_in_common_takes_almost_no_room)
{
    const auto before = long_text();
    auto after = before;
    after.insert(after.size() / 2, "one change");
    const auto frame = compress_with_prefix(before, after);
    BOOST_TEST(frame.size() < 200U);
    BOOST_TEST((decompress_with_prefix(before, frame).value() == after));
    BOOST_TEST(!decompress_with_prefix("another text", frame).has_value());
}

BOOST_AUTO_TEST_CASE(a_text_without_a_forerunner_comes_back)
{
    const auto text = long_text();
    BOOST_TEST((decompress_with_prefix({}, compress_with_prefix({}, text)).value() == text));
    BOOST_TEST(decompress_with_prefix({}, compress_with_prefix({}, {})).value().empty());
    BOOST_TEST(!decompress_with_prefix({}, "no frame").has_value());
}
