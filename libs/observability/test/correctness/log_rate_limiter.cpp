#include <boost/test/unit_test.hpp>

#include "observability/line_budget.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_storm_of_one_kind_is_cut_counted_and_hides_no_other)
{
    line_budget budget;
    instant now{std::chrono::seconds(1)};
    int written = 0;
    for (int line = 0; line < 10'000; ++line) {
        written += budget.take("call_refused", now) ? 1 : 0;
    }
    BOOST_TEST(written == line_budget::reserve_lines);
    BOOST_TEST((budget.take("table_in_force", now) == 0U));
    now += std::chrono::seconds(1);
    BOOST_TEST((budget.take("call_refused", now) == 10'000U - line_budget::reserve_lines));
    BOOST_TEST((budget.take("call_refused", now) == 0U));
}
