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

BOOST_AUTO_TEST_CASE(different_targets_are_counted_once_each)
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

BOOST_AUTO_TEST_CASE(an_answer_clears_what_was_noted)
{
    crash_tracker records;
    const auto one = crash("/x", "a", "d1");
    records.merge(one, instant());
    BOOST_TEST(records.merge({crash_event::answered, one.head_, one.fingerprint_, ""}, instant()));
    BOOST_TEST(!records.view()->is_suspect(one.head_));
}

BOOST_AUTO_TEST_CASE(the_window_ends_and_the_memory_is_bounded)
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

BOOST_AUTO_TEST_CASE(a_record_comes_back_as_written)
{
    const auto one = crash("/x", "a", "dialer/d1");
    cbor_writer writer;
    write_crash(writer, one);
    const auto bytes = writer.take();
    cbor_reader reader(bytes);
    BOOST_TEST((read_crash(reader) == one));
    BOOST_TEST(reader.finish().has_value());
}
