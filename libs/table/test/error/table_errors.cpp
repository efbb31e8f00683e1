#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "table/table_check.h"
#include "table/table_csv.h"

using namespace sycamorewinch;

namespace {

const std::string heading = "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,"
                            "retries,repeatable,depends_on\n";

auto csv_error(const std::string& rows) -> std::string
{
    const auto read = read_csv(heading + rows);
    return read ? "accepted" : read.error().message_;
}

auto first_finding_message(const std::string& rows) -> std::string
{
    const auto findings = check_table(*read_csv(heading + rows));
    return findings.empty() ? "accepted" : findings.front().message_;
}

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(errors_name_line_and_column)
{
    BOOST_TEST(csv_error("a,/a,,-1,0,0,,1,0,no,\n") ==
               "line 2, column rate: '-1' is no whole number from 0 to 4294967295");
    BOOST_TEST(contains(csv_error("a,/a,x=1,0,0,0,,1,0,no,\n"), "line 2, column weights"));
    BOOST_TEST(contains(csv_error("a,/a,,0,0,0,,1,0,maybe,\n"), "must be yes or no"));
    BOOST_TEST(contains(csv_error("a,/a\n"), "has 2 cells, expected 11"));
    BOOST_TEST(contains(csv_error("a,\"/a\n"), "not closed"));
    BOOST_TEST(contains(read_csv("").error().message_, "empty"));
    BOOST_TEST(contains(read_csv("service,cost\n").error().message_, "'cost' is not a column"));
}

BOOST_AUTO_TEST_CASE(overlong_names_are_rejected)
{
    BOOST_TEST(
        contains(csv_error(std::string(65, 'x') + ",/a,,0,0,0,,1,0,no,\n"), "at most 64 bytes"));
}

BOOST_AUTO_TEST_CASE(the_check_finds_invalid_tables)
{
    BOOST_TEST(contains(first_finding_message("a,/a,,0,0,0,,1,0,no,b\n"), "'b' is no service"));
    BOOST_TEST(
        contains(first_finding_message("a,/a,,0,0,0,,1,0,no,b\nb,/b,,0,0,0,,1,0,no,a\n"), "cycle"));
    BOOST_TEST(contains(first_finding_message("a,/a,,0,0,0,,1,0,no,a\n"), "cycle"));
    BOOST_TEST(contains(first_finding_message("a,/a,zone:x=0,0,0,0,,1,0,no,\n"), "sum to zero"));
    BOOST_TEST(contains(first_finding_message("a,/a,,9,0,0,,1,0,no,\n"), "needs a burst"));
    BOOST_TEST(contains(first_finding_message("a,/a,,0,0,0,,0,0,no,\n"), "a timeout must be from"));
    BOOST_TEST(contains(first_finding_message("a,/a,,0,0,0,,1,0,no,\na,/b,,0,0,0,,1,0,no,\n"),
                        "two rows"));
}

BOOST_AUTO_TEST_CASE(names_with_separators_or_control_characters_are_rejected)
{
    BOOST_TEST(contains(first_finding_message("\"a=b\",/a,,0,0,0,,1,0,no,\n"), "which separate"));
    BOOST_TEST(
        contains(first_finding_message("a\x01,/a,,0,0,0,,1,0,no,\n"), "'a?' contains a control"));
    BOOST_TEST(contains(first_finding_message("\xc3\xa4,/a,,0,0,0,,1,0,no,\n"), "non-ASCII"));
    BOOST_TEST(
        contains(first_finding_message("a,/a,zone:=1,0,0,0,,1,0,no,\n"), "a name is required"));
    BOOST_TEST(
        contains(first_finding_message("a,/a,,0,0,0,\" x=1/1/1\",1,0,no,\n"), "with a space"));
    BOOST_TEST(contains(first_finding_message("a,/a,,0,0,0,x=1/1/1;x=2/2/2,1,0,no,\n"),
                        "is listed twice"));
}

BOOST_AUTO_TEST_CASE(a_zone_and_a_target_may_share_a_name)
{
    BOOST_TEST(first_finding_message("a,/a,zone:x=1;target:x=1,0,0,0,,1,0,no,\n") == "accepted");
    BOOST_TEST(contains(first_finding_message("a,/a,zone:x=1;zone:x=1,0,0,0,,1,0,no,\n"),
                        "is listed twice"));
}

BOOST_AUTO_TEST_CASE(only_normalized_path_prefixes_are_accepted)
{
    for (const std::string path : {"a", "/a/", "//a", "/a/../b", "/.", "/a?b", "/a#b", "/a b"}) {
        BOOST_TEST(first_finding_message("a," + path + ",,0,0,0,,1,0,no,\n") != "accepted");
    }
    for (const std::string path : {"/", "/a", "/a/b.c", "/a..b", "/a%20b"}) {
        BOOST_TEST(first_finding_message("a," + path + ",,0,0,0,,1,0,no,\n") == "accepted");
    }
}

BOOST_AUTO_TEST_CASE(numbers_above_the_limits_are_rejected)
{
    BOOST_TEST(contains(first_finding_message("a,/a,,10000001,1,0,,1,0,no,\n"), "at most"));
    BOOST_TEST(contains(first_finding_message("a,/a,zone:x=1000001,0,0,0,,1,0,no,\n"), "at most"));
    BOOST_TEST(
        contains(first_finding_message("a,/a,,0,0,0,,600001,0,no,\n"), "a timeout must be from"));
    BOOST_TEST(contains(first_finding_message("a,/a,,0,0,0,,1,11,no,\n"), "at most 10 retries"));
    BOOST_TEST(contains(csv_error("a,/a,,99999999999,0,0,,1,0,no,\n"), "no whole number"));
}

BOOST_AUTO_TEST_CASE(spreadsheet_variants_of_a_file_are_handled)
{
    const auto lines = heading + "a,/a,,0,0,0,,1,0,no,\n";
    BOOST_TEST(read_csv("\xEF\xBB\xBF" + lines)->size() == 1);
    BOOST_TEST(read_csv(lines + ",,,,,,,,,,\n")->size() == 1);
    auto with_crlf = lines;
    for (std::size_t at = 0; (at = with_crlf.find('\n', at)) != std::string::npos; at += 2) {
        with_crlf.insert(at, "\r");
    }
    BOOST_TEST(read_csv(with_crlf)->size() == 1);
    auto semicolons = lines;
    std::ranges::replace(semicolons, ',', ';');
    BOOST_TEST(contains(read_csv(semicolons).error().message_, "separated by semicolons"));
    BOOST_TEST(read_csv(heading + "a,/a,\"zone:x=1;zone:y=2\",0,0,0,,1,0,no,\n")
                   ->front()
                   .weights_.size() == 2);
}

BOOST_AUTO_TEST_CASE(a_dependency_chain_as_long_as_the_table_is_checked)
{
    constexpr int services = 20'000;
    std::string rows;
    for (int index = 0; index < services; ++index) {
        const auto name = std::to_string(index);
        const auto next = index + 1 < services ? "s" + std::to_string(index + 1) : std::string();
        rows.append("s").append(name).append(",/").append(name);
        rows.append(",,0,0,0,,1,0,no,").append(next).append("\n");
    }
    BOOST_TEST(first_finding_message(rows) == "accepted");
    rows.insert(rows.size() - 1, "s0");
    BOOST_TEST(contains(first_finding_message(rows), "closes a cycle"));
}

BOOST_AUTO_TEST_CASE(hosts_and_splits_are_checked)
{
    const auto all_columns_heading =
        heading.substr(0, heading.size() - 1) + ",host,split,priority,target_latency_ms\n";
    const auto finding = [&all_columns_heading](const std::string& end) {
        const auto findings =
            check_table(*read_csv(all_columns_heading + "a,/a,,0,0,0,,1,0,no,," + end + "\n"));
        return findings.empty() ? std::string("accepted") : findings.front().message_;
    };
    BOOST_TEST(finding("h,b=1;c=2,0,0") == "accepted");
    BOOST_TEST(contains(finding("h h,,0,0"), "contains a space"));
    BOOST_TEST(contains(finding("h,b=0,0,0"), "sum to zero"));
    BOOST_TEST(contains(finding("h,b=1;b=2,0,0"), "is listed twice"));
    BOOST_TEST(contains(finding("h,b=1000001,0,0"), "at most"));
    BOOST_TEST(
        contains(read_csv(all_columns_heading + "a,/a,,0,0,0,,1,0,no,,h,b,0,0\n").error().message_,
                 "must be SERVICE=WEIGHT"));
}
