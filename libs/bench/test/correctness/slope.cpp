#include <boost/test/unit_test.hpp>

#include "bench/series.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_straight_line_is_found)
{
    const auto line = fit_line({{1, 5, 5, 5}, {2, 7, 7, 7}, {4, 11, 11, 11}});
    BOOST_TEST(line.slope_ == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.at(10) == 23.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.bend_ == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.slope_error_ < 1e-9);
}

BOOST_AUTO_TEST_CASE(a_bend_shows)
{
    BOOST_TEST(fit_line({{1, 1, 1, 1}, {2, 2, 2, 2}, {3, 6, 6, 6}}).bend_ > 3.0);
}

BOOST_AUTO_TEST_CASE(a_raw_run_comes_back_as_written)
{
    raw_run run{{7, 3}, {{"hub_heap", "subscribers", "bytes", true, {summarize(100, {3, 1, 2})}}}};
    const auto back = parse_raw_run(to_json_text(run));
    BOOST_REQUIRE(back.has_value());
    const auto series = find_series(*back, "hub_heap");
    BOOST_REQUIRE(series.has_value());
    BOOST_TEST(series->points_.front().median_ == 2.0);
    BOOST_TEST(back->settings_.seed_ == 7);
    BOOST_TEST(!find_series(*back, "other").has_value());
    BOOST_TEST(!parse_raw_run("[]").has_value());
}
