#include <boost/test/unit_test.hpp>

#include "daemon/rollout_measurement.h"

using namespace sycamorewinch;

namespace {

auto make_rollouts(std::uint64_t sequence, rollout_state state) -> rollouts_pointer
{
    return std::make_shared<const rollout_set>(
        rollout_set{sequence, {{"ledger", "2", 1, state, 50}}});
}

auto make_record(const std::string& service, const std::string& target, const std::string& version)
    -> target_record
{
    target_record record{.service_ = service, .target_ = target};
    record.software_version_ = version;
    return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_targets_of_running_rollouts_are_measured)
{
    rollout_measurement measurement;
    const auto ledger = make_record("ledger", "l1", "2");
    BOOST_TEST(measurement.meter_of(ledger) == nullptr);
    BOOST_TEST(measurement.set_rollouts(make_rollouts(1, rollout_state::running)));
    BOOST_TEST(measurement.meter_of(ledger) != nullptr);
    BOOST_TEST(measurement.meter_of(make_record("dialer", "d1", "2")) == nullptr);
    BOOST_TEST(!measurement.set_rollouts(make_rollouts(2, rollout_state::running)));
    BOOST_TEST(measurement.is_active());
    BOOST_TEST(measurement.set_rollouts(make_rollouts(3, rollout_state::completed)));
    BOOST_TEST(!measurement.is_active());
    BOOST_TEST(measurement.meter_of(ledger) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_report_sums_up_targets_by_version)
{
    rollout_measurement measurement;
    measurement.set_rollouts(make_rollouts(1, rollout_state::running));
    const std::vector<local_target_load> targets{{make_record("ledger", "l1", "1"), 3},
                                                 {make_record("ledger", "l2", "1"), 2},
                                                 {make_record("ledger", "l3", "2"), 1},
                                                 {make_record("dialer", "d1", "2"), 9}};
    for (const auto& target : targets) {
        if (const auto meter = measurement.meter_of(target.record_)) {
            meter->record("front", {.is_failure_ = true});
        }
    }
    const version_report expected{
        {{"ledger", "1", "front", 2, 2, 0}, {"ledger", "2", "front", 1, 1, 0}},
        {{"ledger", "1", 5, 2}, {"ledger", "2", 1, 1}}};
    BOOST_CHECK(measurement.make_report(targets) == expected);
    BOOST_TEST(measurement.make_report(targets).samples_.empty()); // increments only
}

// The failures of an earlier version must not count against the version that replaced it under the
// same target name.
BOOST_AUTO_TEST_CASE(a_target_with_another_version_has_another_meter)
{
    rollout_measurement measurement;
    measurement.set_rollouts(make_rollouts(1, rollout_state::running));
    const auto old_meter = measurement.meter_of(make_record("ledger", "l1", "1"));
    const auto new_meter = measurement.meter_of(make_record("ledger", "l1", "2"));
    BOOST_TEST(old_meter != new_meter);
    BOOST_TEST(measurement.meter_of(make_record("ledger", "l1", "1")) == old_meter);
}

// Old targets may be stopped once none of their requests is in flight, so a target that is gone
// counts until its last request has ended.
BOOST_AUTO_TEST_CASE(a_target_that_is_gone_counts_while_it_has_requests)
{
    rollout_measurement measurement;
    measurement.set_rollouts(make_rollouts(1, rollout_state::running));
    auto gone = make_record("ledger", "l1", "1");
    gone.state_ = target_state::gone;
    BOOST_TEST(measurement.make_report({{gone, 0}}).loads_.empty());
    const std::vector<version_load> expected{{"ledger", "1", 2, 1}};
    BOOST_CHECK(measurement.make_report({{gone, 2}}).loads_ == expected);
}
