#include <boost/test/unit_test.hpp>

#include "distribution/compressed_message.h"
#include "distribution/distribution_message.h"

using namespace sycamorewinch;

namespace {

auto large_update() -> table_update
{
    table_update update{{}, {7, digest{1, 2}}, {}};
    for (int index = 0; index < 200; ++index) {
        const auto service = "service-" + std::to_string(index);
        update.change_.upserts_.push_back({.service_ = service, .path_prefix_ = "/" + service});
    }
    return update;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_large_message_is_compressed_and_round_trips)
{
    const auto bytes = encode_message(large_update());
    BOOST_TEST(bytes.size() < compression_threshold_bytes);
    const auto message = decode_distribution_message(bytes);
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST((std::get<table_update>(*message).change_ == large_update().change_));
}

BOOST_AUTO_TEST_CASE(every_truncated_frame_is_rejected)
{
    const auto frame = compress(std::string(10'000, 'x'));
    for (std::size_t length = 0; length < frame.size(); ++length) {
        BOOST_TEST(!decompress(frame.substr(0, length)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_frame_that_exceeds_the_decompressed_size_limit_is_rejected)
{
    const auto frame = compress(std::string(max_decompressed_bytes + 1, 'x'));
    BOOST_TEST((decompress(frame).error().kind_ == error_kind::too_large));
}
