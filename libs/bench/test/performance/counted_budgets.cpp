#include <boost/test/unit_test.hpp>

#include "bench/distribution_cost.h"

using namespace sycamorewinch;

// The users' budgets: 300 bytes per node for a change of one cell, independent of the table size,
// and 7 KB/s of control traffic in total at 0.5 changes per second.

BOOST_AUTO_TEST_CASE(a_one_cell_change_is_small_at_every_table_size)
{
    constexpr std::uint64_t change_budget_bytes = 300;
    for (const std::uint64_t services : {10, 475, 3'800}) {
        BOOST_TEST(one_cell_change_bytes(services) < change_budget_bytes);
    }
}
