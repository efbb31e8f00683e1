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

BOOST_AUTO_TEST_CASE(late_and_reordered_announcements_are_ignored)
{
    target_directory directory;
    BOOST_TEST(directory.merge(record(2, 1, target_state::up)));
    BOOST_TEST(!directory.merge(record(1, 9, target_state::gone)));
    BOOST_TEST(directory.merge(record(2, 3, target_state::draining)));
    BOOST_TEST(!directory.merge(record(2, 2, target_state::up)));
    BOOST_TEST((directory.find("dialer", "d1")->state_ == target_state::draining));
}

BOOST_AUTO_TEST_CASE(a_target_record_round_trips)
{
    auto value = record(2, 3, target_state::draining);
    value.availability_zone_ = "zone-a";
    value.node_address_ = "127.0.0.1:9000";
    value.slots_ = 10;
    value.cold_start_ = std::chrono::milliseconds(1500);
    value.started_ = 200;
    value.left_start_ = 100;
    value.software_version_ = "2.1";
    cbor_writer writer;
    write_target(writer, value);
    const auto bytes = writer.take();
    cbor_reader reader(bytes);
    BOOST_TEST((read_target(reader) == value));
    BOOST_TEST(reader.finish().has_value());
}

BOOST_AUTO_TEST_CASE(only_buckets_that_differ_are_sent)
{
    target_directory upstream;
    for (std::uint64_t index = 0; index < 1000; ++index) {
        auto target = record(1, 1, target_state::up);
        target.target_ = "d" + std::to_string(index);
        upstream.merge(target);
    }
    auto downstream = upstream;
    BOOST_TEST(upstream.differing_buckets(downstream.digests()).buckets_.empty());
    upstream.merge(record(1, 2, target_state::draining));
    const auto contents = upstream.differing_buckets(downstream.digests());
    BOOST_TEST(contents.buckets_.size() == 1U);
    BOOST_TEST(downstream.merge_buckets(contents).target_updates_.size() == 1U);
    BOOST_TEST((downstream.digests() == upstream.digests()));
}

BOOST_AUTO_TEST_CASE(a_merge_reports_records_that_are_newer_locally)
{
    target_directory upstream;
    upstream.merge(record(1, 1, target_state::up));
    target_directory downstream;
    downstream.merge(record(2, 1, target_state::up));
    const auto merged = downstream.merge_buckets(upstream.differing_buckets(downstream.digests()));
    BOOST_TEST(merged.target_updates_.empty());
    BOOST_TEST(merged.newer_local_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_tombstone_is_kept_for_the_retention_period_and_then_purged)
{
    target_directory directory;
    directory.merge(record(2, 1, target_state::gone));
    const instant start{};
    directory.purge_tombstones(start);
    directory.purge_tombstones(start + tombstone_retention - std::chrono::seconds(1));
    BOOST_TEST(!directory.merge(record(1, 9, target_state::up)));
    directory.purge_tombstones(start + tombstone_retention);
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_tombstone_purged_remotely_is_not_sent_back)
{
    target_directory upstream;
    auto other = record(1, 1, target_state::up);
    other.target_ = "d2";
    upstream.merge(other);
    target_directory downstream;
    downstream.merge(record(2, 1, target_state::gone));
    BOOST_TEST(downstream.merge_buckets(upstream.differing_buckets(downstream.digests()))
                   .newer_local_.empty());
}

BOOST_AUTO_TEST_CASE(a_target_that_left_is_not_used_again_after_its_node_has_restarted)
{
    auto left = record(5, 2, target_state::gone);
    left.started_ = 100;
    left.left_start_ = 100;
    auto announced_late = record(6, 2, target_state::up); // by a node that was not told
    announced_late.started_ = 100;
    target_directory in_order;
    in_order.merge(left);
    BOOST_TEST(in_order.merge(announced_late));
    target_directory reversed;
    reversed.merge(announced_late);
    BOOST_TEST(reversed.merge(left));
    for (const auto* directory : {&in_order, &reversed}) {
        BOOST_TEST((directory->find("dialer", "d1")->state_ == target_state::up));
        BOOST_TEST(has_left(*directory->find("dialer", "d1")));
    }
    auto restarted = record(6, 4, target_state::up);
    restarted.started_ = 200;
    BOOST_TEST(in_order.merge(restarted));
    BOOST_TEST(!has_left(*in_order.find("dialer", "d1")));
}

BOOST_AUTO_TEST_CASE(a_directory_that_was_not_told_of_a_leave_is_synchronized)
{
    auto announced = record(6, 2, target_state::up);
    announced.started_ = 100;
    target_directory upstream;
    target_directory downstream;
    upstream.merge(announced);
    downstream.merge(announced);
    auto left = record(5, 2, target_state::gone);
    left.left_start_ = 100;
    upstream.merge(left);
    const auto contents = upstream.differing_buckets(downstream.digests());
    BOOST_TEST(contents.buckets_.size() == 1U);
    BOOST_TEST(downstream.merge_buckets(contents).target_updates_.size() == 1U);
    BOOST_TEST(has_left(*downstream.find("dialer", "d1")));
    BOOST_TEST((downstream.digests() == upstream.digests()));
}
