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

BOOST_AUTO_TEST_CASE(a_target_that_goes_on_failing_is_left_out_for_longer)
{
    target_health health;
    for (unsigned count = 1; count < target_health::failures_to_eject; ++count) {
        health.on_failure(start);
        BOOST_TEST(!health.is_ejected(start));
    }
    health.on_failure(start);
    BOOST_TEST(health.is_ejected(start));
    const auto back = start + target_health::first_ejection;
    BOOST_TEST(!health.is_ejected(back));
    health.on_failure(back);
    BOOST_TEST(health.is_ejected(back + target_health::first_ejection));
}

BOOST_AUTO_TEST_CASE(an_answer_ends_the_count_of_failures)
{
    target_health health;
    for (unsigned count = 0; count < 100; ++count) {
        health.on_failure(start);
        health.on_answer();
    }
    BOOST_TEST(!health.is_ejected(start));
}

BOOST_AUTO_TEST_CASE(a_service_is_never_emptied)
{
    BOOST_TEST(ejected_targets(failing_route(3, 1), start).size() == 1U);
    BOOST_TEST(ejected_targets(failing_route(3, 2), start).empty());
    BOOST_TEST(ejected_targets(failing_route(3, 3), start).empty());
    BOOST_TEST(ejected_targets(failing_route(1, 1), start).empty());
}

BOOST_AUTO_TEST_CASE(one_that_cannot_be_reached_is_left_out_at_once)
{
    auto route = failing_route(2, 0);
    const instant now{std::chrono::seconds(1)};
    route.targets_.front().health_->on_unreachable(now);
    BOOST_TEST(ejected_targets(route, now).size() == 1U);
    route.targets_.back().health_->on_unreachable(now);
    BOOST_TEST(ejected_targets(route, now).size() == 2U); // the caller then tries all the same
    BOOST_TEST(ejected_targets(route, now + target_health::first_ejection).empty());
}
