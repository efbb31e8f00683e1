/** \file
 * Lesson 2: versions and changes. A version is a number and a digest of the rows, so that two
 * tables under one number are told apart. What travels is the change, by row.
 */
#include "../lesson.h"
#include "table/table_cells.h"
#include "table/table_change.h"

using namespace sycamorewinch;

namespace {

auto make_row(const std::string& service, std::uint32_t rate, std::uint32_t retries) -> row
{
    row one{.service_ = service, .path_prefix_ = "/" + service};
    one.default_limit_ = {rate, rate, 0};
    one.timeout_ = std::chrono::milliseconds(500);
    one.retries_ = retries;
    return one;
}

} // namespace

auto main() -> int
{
    const auto base = make_table(7, {make_row("dialer", 10, 1), make_row("mailbox", 10, 1)});
    const auto ann = make_table(8, {make_row("dialer", 20, 1), make_row("mailbox", 10, 1)});
    const auto bob = make_table(8, {make_row("dialer", 30, 2), make_row("mailbox", 10, 1)});
    lesson::shows("equal numbers with different rows are different versions",
                  ann.version_.number_ == bob.version_.number_ && ann.version_ != bob.version_);

    // The change from one table to the next holds only the rows that differ.
    const auto change = difference(base, ann);
    lesson::shows("one row travels", change.upserts_.size() == 1 && change.removals_.empty());
    lesson::shows("the receiver gets the same digest",
                  apply_change(base, change, 8).version_ == ann.version_);

    // Bob started from the same base as Ann. Both changed the dialer's rate, and differently.
    const auto merged = merge_tables(base, ann, bob);
    lesson::shows("the cells that both changed are conflicts", merged.conflicts_.size() == 2);
    const auto& rate = merged.conflicts_.front();
    lesson::shows("a conflict has three values: base, theirs, mine",
                  rate.base_ == "10" && rate.theirs_ == "20" && rate.mine_ == "30");
    return EXIT_SUCCESS;
}
