#include <fstream>

#include <boost/test/unit_test.hpp>

#include "../fake_control.h"
#include "cli/working_copy.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

const std::string heading = "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,"
                            "retries,repeatable,depends_on\n";

void write(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

} // namespace

BOOST_AUTO_TEST_CASE(wrong_commands_end_with_status_2)
{
    test_operator ann({});
    BOOST_TEST((ann.run({}) == exit_status::wrong_arguments));
    BOOST_TEST((ann.run({"table"}) == exit_status::wrong_arguments));
    BOOST_TEST((ann.run({"table", "set", "a"}) == exit_status::wrong_arguments));
    BOOST_TEST(ann.said("usage: sycamorewinch table set SERVICE COLUMN VALUE"));
    BOOST_TEST((ann.run({"table", "diff", ann.path("none")}) == exit_status::bad_table));
}

BOOST_AUTO_TEST_CASE(errors_name_file_row_and_column)
{
    test_operator ann({});
    const auto file = ann.path("t.csv");
    write(file, heading + "a,/a,,x,0,0,,1,0,no,\n");
    BOOST_TEST((ann.run({"table", "check", file}) == exit_status::bad_table));
    BOOST_TEST(ann.said("t.csv, line 2, column rate: 'x' is no whole number"));
    write(file, heading + "a,/a,,0,0,0,,1,0,no,b\n");
    BOOST_TEST((ann.run({"table", "check", file}) == exit_status::bad_table));
    BOOST_TEST(ann.said("a, column depends_on: 'b' is no service of this table"));
    BOOST_TEST(
        (ann.run({"table", "set", "a", "rate", "-1"}, {.file_ = file}) == exit_status::bad_table));
    BOOST_TEST(ann.said("a, column rate: '-1'"));
}

BOOST_AUTO_TEST_CASE(a_file_from_nowhere_overwrites_no_table)
{
    fake_control control;
    control.accept({row_of("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    write(file, heading + "b,/b,,0,0,0,,1,0,no,\n");
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::wrong_arguments));
    BOOST_TEST(ann.said("table import"));
    BOOST_TEST(control.current().version_.number_ == 1);
    BOOST_TEST((ann.run({"table", "import", file}) == exit_status::done));
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::done));
    BOOST_TEST(control.current().version_.number_ == 2);
}

BOOST_AUTO_TEST_CASE(a_damaged_base_is_no_base)
{
    fake_control control;
    control.accept({row_of("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    ann.run({"table", "export", file});
    write(base_path_of(file), "{\"number\":1}");
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::wrong_arguments));
    BOOST_TEST(ann.said("is damaged"));
}
