#include <boost/test/unit_test.hpp>

#include "bench/series.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(fit_line_recovers_an_exact_line)
{
    const auto line = fit_line({{1, 5, 5, 5}, {2, 7, 7, 7}, {4, 11, 11, 11}});
    BOOST_TEST(line.slope_ == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.at(10) == 23.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.bend_ == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.slope_error_ < 1e-9);
}

BOOST_AUTO_TEST_CASE(bend_exceeds_one_for_a_steeper_upper_half)
{
    BOOST_TEST(fit_line({{1, 1, 1, 1}, {2, 2, 2, 2}, {3, 6, 6, 6}}).bend_ > 3.0);
}

BOOST_AUTO_TEST_CASE(raw_run_round_trips_through_json)
{
    raw_run run{{7, 3}, {{"hub_heap", "subscribers", "bytes", true, {summarize(100, {3, 1, 2})}}}};
    const auto parsed = parse_raw_run(to_json_text(run));
    BOOST_REQUIRE(parsed.has_value());
    const auto series = find_series(*parsed, "hub_heap");
    BOOST_REQUIRE(series.has_value());
    BOOST_TEST(series->points_.front().median_ == 2.0);
    BOOST_TEST(parsed->settings_.seed_ == 7);
    BOOST_TEST(!find_series(*parsed, "other").has_value());
    BOOST_TEST(!parse_raw_run("[]").has_value());
}
