#include <boost/test/unit_test.hpp>

#include "bench/capacity_report.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_table_between_markers_is_replaced)
{
    const std::string page = "a\n<!-- generated: x -->\nold\n<!-- end generated -->\nb\n";
    BOOST_TEST(replace_table(page, "x", "new\n").value() ==
               "a\n<!-- generated: x -->\nnew\n<!-- end generated -->\nb\n");
    BOOST_TEST(!replace_table(page, "y", "new\n").has_value());
}

BOOST_AUTO_TEST_CASE(capacity_table_marks_values_above_budget)
{
    const auto table = capacity_table(
        {{"node", "memory", 65, 64, "MB", "s", true}, {"node", "bytes", 10, 64, "MB", "s", false}});
    BOOST_TEST(table.find("64: does not close") != std::string::npos);
    BOOST_TEST(table.find("64: 6.4 times below") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(missing_series_is_named_in_the_error)
{
    const auto rows = compute_capacity({}, {});
    BOOST_REQUIRE(!rows.has_value());
    BOOST_TEST(rows.error().message_.find("target_report_bytes") != std::string::npos);
}
