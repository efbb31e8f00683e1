// The choice of a target by load reports, and the measurements behind them.
#include <boost/test/unit_test.hpp>

#include <map>

#include "policy/target_choice.h"
#include "policy/target_meter.h"

using namespace sycamorewinch;

namespace {

constexpr instant now{std::chrono::seconds(100)};
constexpr int calls = 1'000;

/** A service without weights. The first letter of a target's name is its zone. A report without
 * slots is not delivered. */
struct service {
    explicit service(const std::map<std::string, target_load_report>& reports)
    {
        for (const auto& [name, report] : reports) {
            weighted_target target{{.target_ = name}, 1, std::make_shared<target_health>()};
            target.record_.availability_zone_ = name.substr(0, 1);
            if (report.slots_ > 0) {
                target.health_->on_load_report(report, now);
            }
            route_.targets_.push_back(std::move(target));
        }
    }

    auto shares(std::string_view zone, instant at = now) -> std::map<std::string, int>
    {
        std::map<std::string, int> counts;
        const auto random = seeded_random(1);
        for (int call = 0; call < calls; ++call) {
            ++counts[choose_target_by_cost(route_, zone, {}, at, random)->record_.target_];
        }
        return counts;
    }

    service_route route_;
};

constexpr target_load_report fast{.relative_latency_ = 200, .slots_ = 10};
constexpr target_load_report slow{.relative_latency_ = 500, .slots_ = 10};

} // namespace

BOOST_AUTO_TEST_CASE(fast_target_gets_more_calls_and_slow_targets_get_some)
{
    auto shares = service({{"a1", fast}, {"a2", slow}, {"a3", slow}}).shares("a");
    BOOST_TEST(shares["a1"] > calls / 2);
    BOOST_TEST(shares["a2"] > calls / 20);
    BOOST_TEST(shares["a3"] > calls / 20);
}

BOOST_AUTO_TEST_CASE(loaded_target_gets_fewer_calls)
{
    auto busy = fast;
    busy.in_flight_ = 10;
    auto idle = fast;
    idle.relative_latency_ = 300;
    BOOST_TEST(service({{"a1", busy}, {"a2", idle}}).shares("a")["a2"] == calls);
    // A load that was reported more than 3 s ago is ignored.
    const auto later = now + std::chrono::seconds(5);
    BOOST_TEST(service({{"a1", busy}, {"a2", idle}}).shares("a", later)["a1"] == calls);
}

BOOST_AUTO_TEST_CASE(fast_failing_target_does_not_attract_calls)
{
    const target_load_report failing{.relative_latency_ = 10, .slots_ = 10, .error_rate_ = 400};
    BOOST_TEST(service({{"a1", failing}, {"a2", slow}}).shares("a")["a2"] == calls);
}

BOOST_AUTO_TEST_CASE(target_without_load_report_is_tried)
{
    auto shares = service({{"a1", fast}, {"a2", {}}}).shares("a");
    BOOST_TEST(shares["a1"] > calls / 3);
    BOOST_TEST(shares["a2"] > calls / 3);
}

BOOST_AUTO_TEST_CASE(slow_target_is_tried_again_once_its_load_report_expires)
{
    const auto later = now + std::chrono::seconds(11);
    BOOST_TEST(service({{"a1", fast}, {"a2", slow}}).shares("a")["a2"] == 0);
    BOOST_TEST(service({{"a1", fast}, {"a2", slow}}).shares("a", later)["a2"] > calls / 3);
}

BOOST_AUTO_TEST_CASE(remote_zone_is_used_only_if_its_cost_is_known_and_much_lower)
{
    const target_load_report failing{.relative_latency_ = 200, .slots_ = 10, .error_rate_ = 400};
    BOOST_TEST(service({{"a1", failing}, {"b1", fast}}).shares("a")["b1"] == calls);
    const target_load_report crowded{.relative_latency_ = 400, .in_flight_ = 20, .slots_ = 10};
    BOOST_TEST(service({{"a1", crowded}, {"b1", fast}}).shares("a")["b1"] == calls);
    const target_load_report full{.relative_latency_ = 400, .in_flight_ = 10, .slots_ = 10};
    BOOST_TEST(service({{"a1", full}, {"b1", fast}}).shares("a")["a1"] == calls);
    BOOST_TEST(service({{"a1", slow}, {"b1", fast}}).shares("a")["a1"] == calls);
    BOOST_TEST(service({{"a1", crowded}, {"b1", {}}}).shares("a")["a1"] == calls);
}

BOOST_AUTO_TEST_CASE(meter_follows_latency_up_and_down)
{
    constexpr duration target_latency = std::chrono::milliseconds(300);
    target_meter meter;
    BOOST_TEST(meter.relative_latency() == 0U);
    meter.on_answer(std::chrono::milliseconds(90), target_latency);
    BOOST_TEST(meter.relative_latency() == 300U);
    for (int answer = 0; answer < 40; ++answer) {
        meter.on_answer(std::chrono::milliseconds(450), target_latency);
    }
    BOOST_TEST(meter.relative_latency() > 1'300U);
    for (int answer = 0; answer < 100; ++answer) {
        meter.on_answer(std::chrono::milliseconds(90), target_latency);
    }
    BOOST_TEST(meter.relative_latency() == 300U);
}

BOOST_AUTO_TEST_CASE(meter_error_rate_rises_and_decays)
{
    target_meter meter;
    for (int answer = 0; answer < 20; ++answer) {
        meter.on_error();
    }
    BOOST_TEST(meter.error_rate() > 600U);
    for (int answer = 0; answer < 200; ++answer) {
        meter.on_answer(std::chrono::milliseconds(1), {});
    }
    BOOST_TEST(meter.error_rate() == 0U);
}

BOOST_AUTO_TEST_CASE(load_report_round_trips_through_text)
{
    const target_load_report report{
        .relative_latency_ = 312, .in_flight_ = 4, .slots_ = 9, .error_rate_ = 17};
    BOOST_TEST((parse_target_load_report(to_text(report)) == report));
    auto limited = report;
    limited.rate_limit_ = 15'300;
    limited.rate_delay_ms_ = 65;
    BOOST_TEST((parse_target_load_report(to_text(limited)) == limited));
    for (const auto* text : {"", "1", "1,2,3", "1,2,3,", "1,2,3,4,5", "1,2,3,4,5,", "1,2,3,4,5,6,7",
                             "a,2,3,4", "-1,2,3,4"}) {
        BOOST_TEST(!parse_target_load_report(text).has_value());
    }
}
