#include <boost/test/unit_test.hpp>

#include "membership/target_directory.h"

using namespace sycamorewinch;

namespace {

auto record(std::uint64_t incarnation, std::uint64_t sequence, target_state state) -> target_record
{
    target_record value{.service_ = "dialer", .target_ = "d1"};
    value.incarnation_ = incarnation;
    value.sequence_ = sequence;
    value.state_ = state;
    return value;
}

} // namespace

BOOST_AUTO_TEST_CASE(late_and_crossed_announcements_lose)
{
    target_directory directory;
    BOOST_TEST(directory.merge(record(2, 1, target_state::up)));
    BOOST_TEST(!directory.merge(record(1, 9, target_state::gone)));
    BOOST_TEST(directory.merge(record(2, 3, target_state::draining)));
    BOOST_TEST(!directory.merge(record(2, 2, target_state::up)));
    BOOST_TEST((directory.find("dialer", "d1")->state_ == target_state::draining));
}

BOOST_AUTO_TEST_CASE(a_record_comes_back_as_written)
{
    auto value = record(2, 3, target_state::draining);
    value.availability_zone_ = "zone-a";
    value.node_address_ = "127.0.0.1:9000";
    value.slots_ = 10;
    value.cold_start_ = std::chrono::milliseconds(1500);
    cbor_writer writer;
    write_target(writer, value);
    const auto bytes = writer.take();
    cbor_reader reader(bytes);
    BOOST_TEST((read_target(reader) == value));
    BOOST_TEST(reader.finish().has_value());
}

BOOST_AUTO_TEST_CASE(only_buckets_that_differ_are_sent)
{
    target_directory above;
    for (std::uint64_t index = 0; index < 1000; ++index) {
        auto one = record(1, 1, target_state::up);
        one.target_ = "d" + std::to_string(index);
        above.merge(one);
    }
    auto below = above;
    BOOST_TEST(above.differing_buckets(below.digests()).buckets_.empty());
    above.merge(record(1, 2, target_state::draining));
    const auto contents = above.differing_buckets(below.digests());
    BOOST_TEST(contents.buckets_.size() == 1U);
    BOOST_TEST(below.merge_buckets(contents).target_updates_.size() == 1U);
    BOOST_TEST((below.digests() == above.digests()));
}

BOOST_AUTO_TEST_CASE(what_is_later_here_is_found_in_a_comparison)
{
    target_directory above;
    above.merge(record(1, 1, target_state::up));
    target_directory below;
    below.merge(record(2, 1, target_state::up));
    const auto outcome = below.merge_buckets(above.differing_buckets(below.digests()));
    BOOST_TEST(outcome.target_updates_.empty());
    BOOST_TEST(outcome.newer_local_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_gone_target_is_remembered_for_a_while_and_then_forgotten)
{
    target_directory directory;
    directory.merge(record(2, 1, target_state::gone));
    const instant start{};
    directory.forget_gone(start);
    directory.forget_gone(start + gone_remembered - std::chrono::seconds(1));
    BOOST_TEST(!directory.merge(record(1, 9, target_state::up)));
    directory.forget_gone(start + gone_remembered);
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_forgotten_gone_target_is_not_told_again)
{
    target_directory above;
    auto other = record(1, 1, target_state::up);
    other.target_ = "d2";
    above.merge(other);
    target_directory below;
    below.merge(record(2, 1, target_state::gone));
    BOOST_TEST(below.merge_buckets(above.differing_buckets(below.digests())).newer_local_.empty());
}
