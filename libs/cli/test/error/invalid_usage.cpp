#include <fstream>

#include <boost/test/unit_test.hpp>

#include "../fake_control.h"
#include "cli/working_copy.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

const std::string csv_header =
    "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,"
    "retries,repeatable,depends_on\n";

void write_text(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

} // namespace

BOOST_AUTO_TEST_CASE(invalid_commands_return_wrong_arguments)
{
    test_operator ann({});
    BOOST_TEST((ann.run({}) == exit_status::wrong_arguments));
    BOOST_TEST((ann.run({"table"}) == exit_status::wrong_arguments));
    BOOST_TEST((ann.run({"table", "set", "a"}) == exit_status::wrong_arguments));
    BOOST_TEST(ann.printed("usage: sycamorewinch table set SERVICE COLUMN VALUE"));
    BOOST_TEST((ann.run({"table", "diff", ann.path("none")}) == exit_status::bad_table));
}

BOOST_AUTO_TEST_CASE(errors_name_file_row_and_column)
{
    test_operator ann({});
    const auto file = ann.path("t.csv");
    write_text(file, csv_header + "a,/a,,x,0,0,,1,0,no,\n");
    BOOST_TEST((ann.run({"table", "check", file}) == exit_status::bad_table));
    BOOST_TEST(ann.printed("t.csv, line 2, column rate: 'x' is no whole number"));
    write_text(file, csv_header + "a,/a,,0,0,0,,1,0,no,b\n");
    BOOST_TEST((ann.run({"table", "check", file}) == exit_status::bad_table));
    BOOST_TEST(ann.printed("a, column depends_on: 'b' is no service of this table"));
    BOOST_TEST(
        (ann.run({"table", "set", "a", "rate", "-1"}, {.file_ = file}) == exit_status::bad_table));
    BOOST_TEST(ann.printed("a, column rate: '-1'"));
}

BOOST_AUTO_TEST_CASE(file_without_base_does_not_overwrite_the_table)
{
    fake_control control;
    control.accept({make_row("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    write_text(file, csv_header + "b,/b,,0,0,0,,1,0,no,\n");
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::wrong_arguments));
    BOOST_TEST(ann.printed("table import"));
    BOOST_TEST(control.current().version_.number_ == 1);
    BOOST_TEST((ann.run({"table", "import", file}) == exit_status::done));
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::done));
    BOOST_TEST(control.current().version_.number_ == 2);
}

BOOST_AUTO_TEST_CASE(damaged_base_file_is_rejected)
{
    fake_control control;
    control.accept({make_row("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    ann.run({"table", "export", file});
    write_text(base_path_of(file), "{\"number\":1}");
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::wrong_arguments));
    BOOST_TEST(ann.printed("is damaged"));
}
