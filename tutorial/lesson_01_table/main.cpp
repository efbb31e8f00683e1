/** \file
 * Lesson 1: the operators' configuration table. It is a CSV file, so that it opens in a
 * spreadsheet. A table with any error is rejected as a whole, and each error names its row and
 * column.
 */
#include "../lesson.h"
#include "table/table_check.h"
#include "table/table_csv.h"

using namespace sycamorewinch;

auto main() -> int
{
    const std::string heading = "service,path_prefix,weights,rate,burst,concurrency,callers,"
                                "timeout_ms,retries,repeatable,depends_on\n";

    // A row holds the routing weights and caller limits of one service. Here the targets of zone-a
    // get three calls for each call to zone-b, and each caller may make 50 calls per second, except
    // 'shelter', which may make 5.
    const auto rows = read_csv(heading + "dialer,/dialer,zone:zone-a=3;zone:zone-b=1,50,20,10,"
                                         "shelter=5/5/2,800,1,no,directory\n"
                                         "directory,/directory,,0,0,0,,500,2,yes,\n");
    lesson::check("the CSV is read", rows.has_value());
    lesson::check("it is valid", check_table(*rows).empty());
    lesson::check("a named caller has its own limit",
                  rows->front().limit_of("shelter").requests_per_second_ == 5);
    lesson::check("any other caller has the default limit of the row",
                  rows->front().limit_of("desk").requests_per_second_ == 50);

    // The error for a cell that cannot be parsed names its line and column.
    const auto wrong = read_csv(heading + "dialer,/dialer,,fast,0,0,,800,1,no,\n");
    lesson::check("the error names the line and column of an invalid cell",
                  wrong.error().message_.starts_with("line 2, column rate: 'fast'"));

    // A table that parses can still be inconsistent; check_table validates it as a whole.
    const auto cycle = read_csv(heading + "a,/a,,0,0,0,,500,0,yes,b\n"
                                          "b,/b,,0,0,0,,500,0,yes,a\n");
    const auto findings = check_table(*cycle);
    lesson::check("a dependency cycle is found", findings.size() == 1);
    lesson::check("the finding names row and column",
                  findings.front().service_ == "b" &&
                      findings.front().column_ == table_column::depends_on);
    return EXIT_SUCCESS;
}
