#include <boost/test/unit_test.hpp>

#include "table/table_change.h"
#include "table/table_check.h"
#include "table/table_csv.h"

using namespace sycamorewinch;

namespace {

constexpr std::string_view sample =
    "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,retries,repeatable,"
    "depends_on\n"
    "dialer,/dialer,zone:a=3;target:d1=1,50,20,10,shelter=5/5/2;desk=9/9/9,800,1,no,directory\n"
    "directory,\"/dir,ectory\",,0,0,0,,500,2,yes,\n";

} // namespace

BOOST_AUTO_TEST_CASE(csv_round_trips)
{
    const auto rows = read_csv(sample);
    BOOST_REQUIRE(rows.has_value());
    BOOST_TEST(rows->size() == 2);
    BOOST_TEST(write_csv(*rows) == sample);
    BOOST_TEST(rows->front().limit_of("shelter").burst_ == 5);
    BOOST_TEST(rows->front().limit_of("other").burst_ == 20);
    BOOST_TEST(check_table(*rows).empty());
}

BOOST_AUTO_TEST_CASE(a_change_transforms_one_table_into_the_other)
{
    const auto before = make_table(1, *read_csv(sample));
    auto rows = before.rows_;
    rows.front().retries_ = 3;
    rows.pop_back();
    const auto after = make_table(2, rows);
    const auto change = difference(before, after);
    BOOST_TEST(change.upserts_.size() == 1);
    BOOST_TEST(change.removals_.size() == 1);
    BOOST_TEST((apply_change(before, change, 2).version_ == after.version_));
    const auto back = combine(change, difference(after, before));
    BOOST_TEST((apply_change(before, back, 1).version_ == before.version_));
}

BOOST_AUTO_TEST_CASE(apply_change_computes_the_digest_of_the_whole_table)
{
    const auto before = make_table(1, *read_csv(sample));
    row first{.service_ = "aaa", .path_prefix_ = "/aaa"};
    row last{.service_ = "zzz", .path_prefix_ = "/zzz"};
    auto changed = before.rows_.front();
    changed.retries_ = 9;
    const table_change change{{last, first, changed}, {"directory", "unknown"}};
    const auto after = apply_change(before, change, 2);
    BOOST_TEST(after.rows_.size() == 3);
    BOOST_TEST((after.version_ == make_table(2, after.rows_).version_));
}

BOOST_AUTO_TEST_CASE(optional_columns_round_trip)
{
    row new_row{.service_ = "r-1", .host_ = "h.example", .path_prefix_ = "/r"};
    new_row.split_ = {{"dialer", 90}, {"dialer-2", 10}};
    new_row.priority_ = 2;
    new_row.target_latency_ = std::chrono::milliseconds(300);
    new_row.timeout_ = std::chrono::milliseconds(1000);
    const auto text = write_csv({new_row});
    BOOST_TEST(text.find(",h.example,dialer=90;dialer-2=10,2,300\n") != std::string::npos);
    const auto rows = read_csv(text);
    BOOST_REQUIRE(rows.has_value());
    BOOST_TEST((rows->front() == new_row));
    BOOST_TEST(check_table(*rows).empty());
}

BOOST_AUTO_TEST_CASE(the_version_digest_covers_bounds)
{
    const row new_row{.service_ = "a", .path_prefix_ = "/a"};
    const auto before = make_table(1, {new_row});
    connection_bounds bounds;
    bounds.idle_timeout_ = std::chrono::milliseconds(15'000);
    const auto after = make_table(2, {new_row}, bounds);
    BOOST_TEST((before.version_.digest_ != after.version_.digest_));
    const auto change = difference(before, after);
    BOOST_TEST((apply_change(before, change, 2).version_ == after.version_));
    BOOST_TEST((apply_change(after, difference(after, before), 3).bounds_ == before.bounds_));
}
