#include <boost/test/unit_test.hpp>

#include "daemon/progress_tracker.h"

using namespace sycamorewinch;

namespace {

auto zone_at(std::uint64_t version) -> std::vector<zone_progress>
{
    return {{"zone-a", 4, version, 4, {"node-1"}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(the_report_of_a_silent_replica_expires)
{
    progress_tracker tracker;
    instant now{};
    tracker.report("c1", zone_at(4), now);
    BOOST_TEST(tracker.total(zone_at(5), now).front().lowest_version_ == 4);
    now += replica_silence_timeout - std::chrono::milliseconds(1);
    BOOST_TEST(tracker.total(zone_at(5), now).front().lowest_version_ == 4);
    BOOST_TEST(tracker.silent_replicas(now).empty());
    now += std::chrono::milliseconds(1);
    BOOST_TEST(tracker.total(zone_at(5), now).front().lowest_version_ == 5);
    BOOST_TEST(tracker.silent_replicas(now) == std::vector<std::string>{"c1"});
    tracker.report("c1", zone_at(3), now); // a new report counts again
    BOOST_TEST(tracker.total(zone_at(5), now).front().lowest_version_ == 3);
    BOOST_TEST(tracker.silent_replicas(now).empty());
}

BOOST_AUTO_TEST_CASE(the_report_of_a_disconnected_replica_counts_for_the_grace_period)
{
    progress_tracker tracker;
    instant now{};
    tracker.report("c1", zone_at(4), now);
    tracker.on_disconnected("c1", now);
    now += disconnected_replica_grace - std::chrono::milliseconds(1);
    tracker.on_disconnected("c1", now); // a failed dial does not extend the period
    BOOST_TEST(tracker.total({}, now).size() == 1);
    now += std::chrono::milliseconds(1);
    BOOST_TEST(tracker.total({}, now).empty());
}
