#include <boost/test/unit_test.hpp>

#include "table/row_codec.h"
#include "table/table_cells.h"
#include "table/table_check.h"

using namespace sycamorewinch;

namespace {

constexpr std::size_t services = 3'800;

auto make_rows() -> std::vector<row>
{
    std::vector<row> rows;
    for (std::size_t index = 0; index < services; ++index) {
        row new_row{.service_ = "service-" + std::to_string(index)};
        new_row.path_prefix_ = "/" + new_row.service_;
        new_row.default_limit_ = {50, 20, 10};
        new_row.timeout_ = std::chrono::milliseconds(800);
        if (index > 0) {
            new_row.depends_on_ = {"service-" + std::to_string(index / 2)};
        }
        rows.push_back(std::move(new_row));
    }
    rows.front().depends_on_.clear();
    return rows;
}

} // namespace

// A node may use 7 KB/s of network traffic for control. 43,000 changes a day are one in two
// seconds, which leaves 14 KB for each.
BOOST_AUTO_TEST_CASE(a_one_cell_change_of_a_large_table_fits_the_byte_budget)
{
    constexpr std::size_t bytes_per_change = 14'000;
    auto rows = make_rows();
    const auto before = make_table(1, rows);
    BOOST_TEST(check_table(rows).empty());
    rows[services / 2].default_limit_.burst_ = 21;
    const auto after = make_table(2, *read_csv(write_csv(rows)));
    BOOST_TEST(changed_cells(before, after).size() == 1);
    cbor_writer writer;
    write_change(writer, difference(before, after));
    BOOST_TEST(writer.take().size() < bytes_per_change);
}
