#include <boost/test/unit_test.hpp>

#include "distribution/subscriber.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(an_update_with_a_wrong_digest_is_rejected_entirely)
{
    subscriber node{{"node-1", "zone-a", false, seeded_random(1)}};
    row added{.service_ = "dialer", .path_prefix_ = "/dialer"};
    const table_update update{{}, {3, digest{1, 2}}, {{added}, {}}};
    BOOST_TEST(!node.on_message(update).has_value());
    BOOST_TEST(node.held()->version_.number_ == 0);
    BOOST_TEST(node.held()->rows_.empty());
}

BOOST_AUTO_TEST_CASE(an_update_from_a_version_not_held_is_rejected)
{
    subscriber node{{"node-1", "zone-a", false, seeded_random(1)}};
    const table_update update{{2, digest{1, 2}}, {3, digest{}}, {}};
    BOOST_TEST((node.on_message(update).error().kind_ == error_kind::conflict));
}

BOOST_AUTO_TEST_CASE(every_truncated_message_is_rejected)
{
    const auto bytes = encode_message(subscribe{"node-1", "zone-a", true, {7, digest{1, 2}}});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decode_distribution_message(bytes.substr(0, length)).has_value());
    }
}
