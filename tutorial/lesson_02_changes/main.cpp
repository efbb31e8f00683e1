/** \file
 * Lesson 2: versions and changes. A version consists of a number and a digest of the rows, so that
 * two tables with the same number have different versions. Only changed rows are sent.
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
    lesson::check("equal numbers with different rows are different versions",
                  ann.version_.number_ == bob.version_.number_ && ann.version_ != bob.version_);

    // The change from one table to the next holds only the rows that differ.
    const auto change = difference(base, ann);
    lesson::check("the change has one row",
                  change.upserts_.size() == 1 && change.removals_.empty());
    lesson::check("applying the change gives the same version",
                  apply_change(base, change, 8).version_ == ann.version_);

    // Bob edited the same base version as Ann. Both set the rate of the dialer, to different
    // values.
    const auto merged = merge_tables(base, ann, bob);
    lesson::check("cells that both changed to different values are conflicts",
                  merged.conflicts_.size() == 2);
    const auto& rate = merged.conflicts_.front();
    lesson::check("a conflict has three values: base, theirs, mine",
                  rate.base_ == "10" && rate.theirs_ == "20" && rate.mine_ == "30");
    return EXIT_SUCCESS;
}
