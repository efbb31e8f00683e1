#include <boost/test/unit_test.hpp>

#include "quota/quota_message.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(messages_are_read_as_they_were_written)
{
    const quota_ask ask{"acme", 3, 5, 2, {100'500, 40}, true};
    BOOST_TEST((decode_quota_ask(encode(ask)).value() == ask));
    const quota_grant grant{7, std::chrono::milliseconds(1'000), std::chrono::milliseconds(33)};
    BOOST_TEST((decode_quota_grant(encode(grant)).value() == grant));
    BOOST_TEST(encode(ask).size() <= max_quota_message_bytes);
}

// A faulty peer must not make the holder's sums overflow, or reach beyond the message.
BOOST_AUTO_TEST_CASE(damaged_messages_are_refused_and_numbers_are_bounded)
{
    const auto bytes = encode(quota_ask{"acme", 3, 5, 2, {100'500, 40}, true});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decode_quota_ask(bytes.substr(0, length)).has_value());
    }
    BOOST_TEST(!decode_quota_ask(bytes + "x").has_value());
    BOOST_TEST(!decode_quota_grant(bytes).has_value());
    const auto large = decode_quota_ask(encode(quota_ask{"acme", ~0ULL, ~0ULL, ~0ULL, {}, false}));
    BOOST_TEST(large->needed_ == 1'000'000'000U);
    BOOST_TEST(large->returned_ == 1'000'000'000U);
}
