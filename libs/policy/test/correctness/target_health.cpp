#include <boost/test/unit_test.hpp>

#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

constexpr instant start{std::chrono::seconds(100)};

auto failing_route(std::size_t targets, std::size_t failing) -> service_route
{
    service_route route;
    for (std::size_t index = 0; index < targets; ++index) {
        weighted_target target{{.target_ = std::to_string(index)}, 1};
        target.health_ = std::make_shared<target_health>();
        for (unsigned count = 0; index < failing && count < target_health::failures_to_eject;
             ++count) {
            target.health_->on_failure(start);
        }
        route.targets_.push_back(std::move(target));
    }
    return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_target_whose_rate_is_used_up_is_left_out_for_the_reported_time)
{
    const auto start = instant(std::chrono::seconds(1));
    auto route = failing_route(3, 0);
    target_load_report report{.slots_ = 9, .rate_limit_ = 15'300, .rate_delay_ms_ = 65};
    route.targets_.front().health_->on_load_report(report, start);
    BOOST_TEST(ejected_targets(route, start).size() == 1U);
    BOOST_TEST(ejected_targets(route, start + std::chrono::milliseconds(65)).empty());
    route.targets_.front().health_->on_load_report(report, start);
    report.rate_delay_ms_ = 0;
    route.targets_.front().health_->on_load_report(report, start);
    BOOST_TEST(ejected_targets(route, start).empty());
}

BOOST_AUTO_TEST_CASE(ejection_time_grows_with_repeated_failures)
{
    target_health health;
    for (unsigned count = 1; count < target_health::failures_to_eject; ++count) {
        health.on_failure(start);
        BOOST_TEST(!health.is_ejected(start));
    }
    health.on_failure(start);
    BOOST_TEST(health.is_ejected(start));
    const auto retry_time = start + target_health::base_ejection_time;
    BOOST_TEST(!health.is_ejected(retry_time));
    health.on_failure(retry_time);
    BOOST_TEST(health.is_ejected(retry_time + target_health::base_ejection_time));
}

BOOST_AUTO_TEST_CASE(response_resets_the_failure_count)
{
    target_health health;
    for (unsigned count = 0; count < 100; ++count) {
        health.on_failure(start);
        health.on_answer();
    }
    BOOST_TEST(!health.is_ejected(start));
}

BOOST_AUTO_TEST_CASE(no_target_is_ejected_when_most_fail)
{
    BOOST_TEST(ejected_targets(failing_route(3, 1), start).size() == 1U);
    BOOST_TEST(ejected_targets(failing_route(3, 2), start).empty());
    BOOST_TEST(ejected_targets(failing_route(3, 3), start).empty());
    BOOST_TEST(ejected_targets(failing_route(1, 1), start).empty());
}

BOOST_AUTO_TEST_CASE(unreachable_target_is_excluded_immediately)
{
    auto route = failing_route(2, 0);
    const instant now{std::chrono::seconds(1)};
    route.targets_.front().health_->on_unreachable(now);
    BOOST_TEST(ejected_targets(route, now).size() == 1U);
    route.targets_.back().health_->on_unreachable(now);
    BOOST_TEST(ejected_targets(route, now).size() ==
               2U); // choose_target() then uses them all the same
    BOOST_TEST(ejected_targets(route, now + target_health::base_ejection_time).empty());
}
