#include "table/table.h"

#include <algorithm>

#include <fmt/core.h>

#include "table/row_codec.h"

namespace sycamorewinch {

auto table::find(std::string_view service) const -> const row*
{
    const auto found = std::ranges::lower_bound(rows_, service, {}, &row::service_);
    return found != rows_.end() && found->service_ == service ? &*found : nullptr;
}

auto digest_of_rows(const std::vector<row>& rows) -> digest
{
    digest sum;
    for (const auto& row : rows) {
        sum = add_row_digest(sum, row);
    }
    return sum;
}

auto add_row_digest(digest sum, const row& added) -> digest
{
    const auto row_digest = digest_of(encode_row(added));
    return {sum.high_ + row_digest.high_, sum.low_ + row_digest.low_};
}

auto subtract_row_digest(digest sum, const row& removed) -> digest
{
    const auto row_digest = digest_of(encode_row(removed));
    return {sum.high_ - row_digest.high_, sum.low_ - row_digest.low_};
}

auto add_bounds_digest(digest sum, const connection_bounds& bounds) -> digest
{
    if (bounds == connection_bounds()) {
        return sum;
    }
    const auto row_digest = digest_of(encode_bounds(bounds));
    return {sum.high_ + row_digest.high_, sum.low_ + row_digest.low_};
}

auto subtract_bounds_digest(digest sum, const connection_bounds& bounds) -> digest
{
    if (bounds == connection_bounds()) {
        return sum;
    }
    const auto row_digest = digest_of(encode_bounds(bounds));
    return {sum.high_ - row_digest.high_, sum.low_ - row_digest.low_};
}

auto make_table(std::uint64_t number, std::vector<row> rows, const connection_bounds& bounds)
    -> table
{
    std::ranges::sort(rows, {}, &row::service_);
    const auto digest = add_bounds_digest(digest_of_rows(rows), bounds);
    return {{number, digest}, std::move(rows), bounds};
}

auto to_text(const table_version& version) -> std::string
{
    constexpr std::size_t shown_digits = 8;
    return fmt::format("{} ({})", version.number_, to_hex(version.digest_).substr(0, shown_digits));
}

} // namespace sycamorewinch
