#include <boost/test/unit_test.hpp>

#include <QJsonArray>
#include <QJsonDocument>

#include "../fake_control.h"
#include "cli/metrics_text.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

auto make_progress(std::int64_t lowest_version) -> QJsonObject
{
    const QJsonObject zone{{"zone", "zone-a"},
                           {"nodes", 3},
                           {"lowest_version", static_cast<qint64>(lowest_version)},
                           {"at_lowest", 2},
                           {"names", QJsonArray{"node-1", "node-2"}}};
    return {{"version", QJsonObject{{"number", 2}}}, {"zones", QJsonArray{zone}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(pending_accept_is_retried_at_the_leader)
{
    fake_control follower;
    follower.is_leader_ = false;
    fake_control control;
    control.accept({make_row("a", 1)});
    control.pending_responses_ = 2;
    test_operator ann({follower.address(), control.address()});
    BOOST_TEST((ann.run({"table", "set", "a", "rate", "2"}) == exit_status::done));
    BOOST_TEST(control.accept_request_count_ == 3);
}

BOOST_AUTO_TEST_CASE(command_fails_when_no_replica_leads)
{
    fake_control follower;
    follower.is_leader_ = false;
    test_operator ann({follower.address()});
    BOOST_TEST((ann.run({"table", "show"}) == exit_status::failed));
    BOOST_TEST(ann.printed("does not lead"));
}

BOOST_AUTO_TEST_CASE(watch_times_out_and_names_nodes_at_the_lowest_version)
{
    fake_control control;
    control.progress_ = make_progress(1);
    test_operator ann({control.address()});
    const command_options no_wait{.watch_timeout_ = std::chrono::seconds(0)};
    BOOST_TEST((ann.run({"watch"}, no_wait) == exit_status::not_in_force));
    BOOST_TEST(ann.printed("zone-a: 2 of 3 nodes still at version 1: node-1, node-2\n"));
    control.progress_ = make_progress(2);
    BOOST_TEST((ann.run({"watch"}, no_wait) == exit_status::done));
    BOOST_TEST(ann.printed("version 2 is in force everywhere"));
    BOOST_TEST((ann.run({"watch"}, {.watch_timeout_ = std::chrono::seconds(0), .version_ = 3}) ==
                exit_status::not_in_force));
}

BOOST_AUTO_TEST_CASE(refusals_are_summed_over_nodes)
{
    fake_control control;
    control.metrics_ = "# TYPE sycamorewinch_refusals_total counter\n"
                       "sycamorewinch_refusals_total{reason=\"no_target\",service=\"\"} 0\n"
                       "sycamorewinch_refusals_total{reason=\"no_target\",service=\"a\"} 4\n"
                       "sycamorewinch_refusals_total_other 9\n";
    test_operator ann({control.address()});
    BOOST_TEST((ann.run({"refusals"}) == exit_status::done));
    BOOST_TEST(ann.out() == "1 nodes counted since they started\n  a  no_target: 4\n");
}

BOOST_AUTO_TEST_CASE(samples_with_escaped_labels_are_parsed_and_malformed_ones_skipped)
{
    const auto samples =
        parse_samples("m{a=\"x\\\"y\",b=\"\"} 3\nm 4\nm{a=\"broken} 5\nm{} x\n", "m");
    BOOST_REQUIRE(samples.size() == 2);
    BOOST_TEST(samples[0].labels_.at("a") == "x\"y");
    BOOST_TEST(samples[0].value_ == 3);
    BOOST_TEST(samples[1].value_ == 4);
}
