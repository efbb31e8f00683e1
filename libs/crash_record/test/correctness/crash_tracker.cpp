#include <boost/test/unit_test.hpp>

#include "crash_record/crash_tracker.h"

using namespace sycamorewinch;

namespace {

auto crash(const std::string& path, const std::string& body, const std::string& target)
    -> crash_record
{
    const auto head = hash_head("dialer", "POST", path, "");
    return {crash_event::crashed, head, make_fingerprint(head, body), target};
}

} // namespace

BOOST_AUTO_TEST_CASE(each_crashed_target_is_counted_once)
{
    crash_tracker records;
    const instant now{};
    BOOST_TEST(records.merge(crash("/x", "a", "d1"), now));
    BOOST_TEST(!records.merge(crash("/x", "a", "d1"), now));
    BOOST_TEST(records.merge(crash("/x", "a", "d2"), now));
    BOOST_TEST(records.merge(crash("/x", "a", "d3"), now));
    BOOST_TEST(!records.merge(crash("/x", "a", "d4"), now));
    const auto view = records.view();
    BOOST_TEST(view->crashed_targets(crash("/x", "a", "").fingerprint_) == max_crashed_targets);
    BOOST_TEST(view->is_suspect(crash("/x", "b", "").head_));
    BOOST_TEST(view->crashed_targets(crash("/x", "b", "").fingerprint_) == 0);
    BOOST_TEST(!view->is_suspect(crash("/y", "a", "").head_));
}

BOOST_AUTO_TEST_CASE(an_answer_removes_the_crash_records_of_the_request)
{
    crash_tracker records;
    const auto record = crash("/x", "a", "d1");
    records.merge(record, instant());
    BOOST_TEST(
        records.merge({crash_event::answered, record.head_, record.fingerprint_, ""}, instant()));
    BOOST_TEST(!records.view()->is_suspect(record.head_));
}

BOOST_AUTO_TEST_CASE(requests_expire_after_the_window_and_their_number_is_limited)
{
    crash_tracker records;
    records.merge(crash("/x", "a", "d1"), instant());
    BOOST_TEST(!records.expire(instant() + crash_window - duration(1)));
    BOOST_TEST(records.expire(instant() + crash_window));
    for (std::size_t number = 0; number < max_crash_fingerprints + 10; ++number) {
        records.merge(crash("/x", std::to_string(number), "d1"),
                      instant() + duration(static_cast<std::int64_t>(number)));
    }
    BOOST_TEST(records.records().size() == max_crash_fingerprints);
}

BOOST_AUTO_TEST_CASE(a_crash_record_round_trips)
{
    const auto record = crash("/x", "a", "dialer/d1");
    cbor_writer writer;
    write_crash(writer, record);
    const auto bytes = writer.take();
    cbor_reader reader(bytes);
    BOOST_TEST((read_crash(reader) == record));
    BOOST_TEST(reader.finish().has_value());
}
