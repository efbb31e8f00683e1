/** \file
 * Lesson 1: the operators' table. It is CSV, so that it opens in a spreadsheet; a table with one
 * fault is refused whole, and every error names the row and the column.
 */
#include "../lesson.h"
#include "table/table_check.h"
#include "table/table_csv.h"

using namespace sycamorewinch;

auto main() -> int
{
    const std::string heading = "service,path_prefix,weights,rate,burst,concurrency,callers,"
                                "timeout_ms,retries,repeatable,depends_on\n";

    // A row names a service, how its traffic is shared and how far a caller may push it. Here the
    // targets of zone-a get three calls for each call of zone-b, any caller may make 50 calls a
    // second, and the caller 'shelter' only 5.
    const auto rows = read_csv(heading + "dialer,/dialer,zone:zone-a=3;zone:zone-b=1,50,20,10,"
                                         "shelter=5/5/2,800,1,no,directory\n"
                                         "directory,/directory,,0,0,0,,500,2,yes,\n");
    lesson::shows("the CSV is read", rows.has_value());
    lesson::shows("it has nothing wrong", check_table(*rows).empty());
    lesson::shows("a named caller has its own limit",
                  rows->front().limit_of("shelter").requests_per_second_ == 5);
    lesson::shows("any other has the row's",
                  rows->front().limit_of("desk").requests_per_second_ == 50);

    // A cell that cannot be read names its line and column.
    const auto wrong = read_csv(heading + "dialer,/dialer,,fast,0,0,,800,1,no,\n");
    lesson::shows("a wrong cell names its place",
                  wrong.error().message_.starts_with("line 2, column rate: 'fast'"));

    // What can be read may still make no sense. The check looks at the table as a whole.
    const auto cycle = read_csv(heading + "a,/a,,0,0,0,,500,0,yes,b\n"
                                          "b,/b,,0,0,0,,500,0,yes,a\n");
    const auto findings = check_table(*cycle);
    lesson::shows("services that depend on each other are found", findings.size() == 1);
    lesson::shows("the finding names row and column",
                  findings.front().service_ == "b" &&
                      findings.front().column_ == table_column::depends_on);
    return EXIT_SUCCESS;
}
