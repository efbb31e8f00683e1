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
