#include <boost/test/unit_test.hpp>

#include "table/table_cells.h"

using namespace sycamorewinch;

namespace {

auto row_of(const std::string& service, std::uint32_t rate, std::uint32_t retries) -> row
{
    row new_row{.service_ = service, .path_prefix_ = "/" + service};
    new_row.default_limit_.requests_per_second_ = rate;
    new_row.retries_ = retries;
    return new_row;
}

const auto base = make_table(1, {row_of("a", 1, 1), row_of("b", 1, 1)});

} // namespace

BOOST_AUTO_TEST_CASE(changed_cells_lists_each_differing_cell)
{
    const auto changed = changed_cells(base, make_table(2, {row_of("a", 5, 1)}));
    BOOST_REQUIRE(changed.size() == 2);
    BOOST_TEST((changed[0] == cell_change{"a", table_column::rate, "1", "5"}));
    // A removed row is a change of its service cell to an empty text.
    BOOST_TEST((changed[1] == cell_change{"b", table_column::service, "b", ""}));
}

BOOST_AUTO_TEST_CASE(edits_of_different_cells_and_rows_merge)
{
    const auto theirs = make_table(2, {row_of("a", 5, 1), row_of("b", 1, 1), row_of("c", 1, 1)});
    const auto mine = make_table(0, {row_of("a", 1, 3)});
    const auto merged = merge_tables(base, theirs, mine);
    BOOST_TEST(merged.conflicts_.empty());
    BOOST_TEST((merged.rows_ == std::vector{row_of("a", 5, 3), row_of("c", 1, 1)}));
}

BOOST_AUTO_TEST_CASE(edits_of_the_same_cell_conflict_and_mine_is_kept)
{
    const auto theirs = make_table(2, {row_of("a", 5, 1), row_of("b", 1, 1)});
    const auto mine = make_table(0, {row_of("a", 7, 1), row_of("b", 1, 1)});
    const auto merged = merge_tables(base, theirs, mine);
    BOOST_REQUIRE(merged.conflicts_.size() == 1);
    BOOST_TEST(
        (merged.conflicts_.front() == merge_conflict{"a", table_column::rate, "1", "5", "7"}));
    BOOST_TEST((merged.rows_.front() == row_of("a", 7, 1)));
}

BOOST_AUTO_TEST_CASE(removing_a_row_conflicts_with_a_change_of_it)
{
    const auto theirs = make_table(2, {row_of("a", 5, 1), row_of("b", 1, 1)});
    const auto mine = make_table(0, {row_of("b", 1, 1)});
    const auto merged = merge_tables(base, theirs, mine);
    BOOST_REQUIRE(merged.conflicts_.size() == 1);
    BOOST_TEST((merged.conflicts_.front().column_ == table_column::service));
    BOOST_TEST(merged.conflicts_.front().mine_.empty());
}
