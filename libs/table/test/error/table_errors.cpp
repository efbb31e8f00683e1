#include <boost/test/unit_test.hpp>

#include "table/table_check.h"
#include "table/table_csv.h"

using namespace sycamorewinch;

namespace {

const std::string heading = "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,"
                            "retries,repeatable,depends_on\n";

auto message_of(const std::string& rows) -> std::string
{
    const auto read = read_csv(heading + rows);
    return read ? "accepted" : read.error().message_;
}

auto first_finding(const std::string& rows) -> std::string
{
    const auto findings = check_table(*read_csv(heading + rows));
    return findings.empty() ? "accepted" : findings.front().message_;
}

auto has(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(errors_name_line_and_column)
{
    BOOST_TEST(message_of("a,/a,,-1,0,0,,1,0,no,\n") ==
               "line 2, column rate: '-1' is no whole number from 0 to 4294967295");
    BOOST_TEST(has(message_of("a,/a,x=1,0,0,0,,1,0,no,\n"), "line 2, column weights"));
    BOOST_TEST(has(message_of("a,/a,,0,0,0,,1,0,maybe,\n"), "must be yes or no"));
    BOOST_TEST(has(message_of("a,/a\n"), "has 2 cells and needs 11"));
    BOOST_TEST(has(message_of("a,\"/a\n"), "not closed"));
    BOOST_TEST(has(read_csv("").error().message_, "empty"));
    BOOST_TEST(has(read_csv("service,cost\n").error().message_, "'cost' is no column"));
}

BOOST_AUTO_TEST_CASE(over_long_names_are_refused)
{
    BOOST_TEST(has(message_of(std::string(65, 'x') + ",/a,,0,0,0,,1,0,no,\n"), "64 bytes at most"));
}

BOOST_AUTO_TEST_CASE(the_check_finds_what_makes_no_sense)
{
    BOOST_TEST(has(first_finding("a,/a,,0,0,0,,1,0,no,b\n"), "'b' is no service"));
    BOOST_TEST(has(first_finding("a,/a,,0,0,0,,1,0,no,b\nb,/b,,0,0,0,,1,0,no,a\n"), "cycle"));
    BOOST_TEST(has(first_finding("a,/a,,0,0,0,,1,0,no,a\n"), "cycle"));
    BOOST_TEST(has(first_finding("a,/a,zone:x=0,0,0,0,,1,0,no,\n"), "sum to nothing"));
    BOOST_TEST(has(first_finding("a,/a,,9,0,0,,1,0,no,\n"), "needs a burst"));
    BOOST_TEST(has(first_finding("a,/a,,0,0,0,,0,0,no,\n"), "a timeout is from"));
    BOOST_TEST(has(first_finding("a,/a,,0,0,0,,1,0,no,\na,/b,,0,0,0,,1,0,no,\n"), "two rows"));
}
