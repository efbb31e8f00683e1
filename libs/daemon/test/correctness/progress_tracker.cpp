#include <boost/test/unit_test.hpp>

#include "daemon/progress_tracker.h"

using namespace sycamorewinch;

namespace {

/** Returns the progress of one zone whose four nodes are all at \p version. */
auto progress_at(std::uint64_t version) -> std::vector<zone_progress>
{
    return {{"zone-a", 4, version, 4, {"node-1"}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_report_expires_unless_the_replica_renews_it)
{
    progress_tracker tracker;
    instant now{};
    tracker.on_report("control-1", progress_at(4), now);
    BOOST_TEST(tracker.merge_with_reports(progress_at(5), now).front().lowest_version_ == 4);
    now += replica_report_timeout - std::chrono::milliseconds(1);
    BOOST_TEST(tracker.merge_with_reports(progress_at(5), now).front().lowest_version_ == 4);
    BOOST_TEST(tracker.silent_replicas(now).empty());
    now += std::chrono::milliseconds(1);
    BOOST_TEST(tracker.merge_with_reports(progress_at(5), now).front().lowest_version_ == 5);
    BOOST_TEST(tracker.silent_replicas(now) == std::vector<std::string>{"control-1"});
    tracker.on_report("control-1", progress_at(3), now); // a new report is included
    BOOST_TEST(tracker.merge_with_reports(progress_at(5), now).front().lowest_version_ == 3);
    BOOST_TEST(tracker.silent_replicas(now).empty());
}

BOOST_AUTO_TEST_CASE(the_report_of_a_disconnected_replica_is_counted_until_the_grace_period_ends)
{
    progress_tracker tracker;
    instant now{};
    tracker.on_report("control-1", progress_at(4), now);
    tracker.on_disconnected("control-1", now);
    now += disconnected_replica_grace_period - std::chrono::milliseconds(1);
    tracker.on_disconnected("control-1", now); // a failed reconnection does not extend the period
    BOOST_TEST(tracker.merge_with_reports({}, now).size() == 1);
    now += std::chrono::milliseconds(1);
    BOOST_TEST(tracker.merge_with_reports({}, now).empty());
}
