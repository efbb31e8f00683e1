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

auto table::names_service(std::string_view service) const -> bool
{
    return std::ranges::any_of(rows_, [service](const row& row) {
        return row.split_.empty() ? row.service_ == service
                                  : std::ranges::find(row.split_, service,
                                                      &service_share::service_) != row.split_.end();
    });
}

auto table::find_organisation(std::string_view name) const -> const organisation*
{
    const auto found = std::ranges::lower_bound(organisations_, name, {}, &organisation::name_);
    return found != organisations_.end() && found->name_ == name ? &*found : nullptr;
}

namespace {

/** Returns \p sum plus the digest of \p encoded. */
auto add(const digest& sum, std::string_view encoded) -> digest
{
    const auto added = digest_of(encoded);
    return {sum.high_ + added.high_, sum.low_ + added.low_};
}

/** Returns \p sum minus the digest of \p encoded. */
auto subtract(const digest& sum, std::string_view encoded) -> digest
{
    const auto subtracted = digest_of(encoded);
    return {sum.high_ - subtracted.high_, sum.low_ - subtracted.low_};
}

} // namespace

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
    return add(sum, encode_row(added));
}

auto subtract_row_digest(digest sum, const row& removed) -> digest
{
    return subtract(sum, encode_row(removed));
}

auto add_bounds_digest(digest sum, const connection_bounds& bounds) -> digest
{
    return bounds == connection_bounds() ? sum : add(sum, encode_bounds(bounds));
}

auto subtract_bounds_digest(digest sum, const connection_bounds& bounds) -> digest
{
    return bounds == connection_bounds() ? sum : subtract(sum, encode_bounds(bounds));
}

auto add_organisation_digest(digest sum, const organisation& added) -> digest
{
    return add(sum, encode_organisation(added));
}

auto subtract_organisation_digest(digest sum, const organisation& removed) -> digest
{
    return subtract(sum, encode_organisation(removed));
}

auto make_table(std::uint64_t number, std::vector<row> rows, const connection_bounds& bounds,
                std::vector<organisation> organisations) -> table
{
    std::ranges::sort(rows, {}, &row::service_);
    std::ranges::sort(organisations, {}, &organisation::name_);
    auto digest = add_bounds_digest(digest_of_rows(rows), bounds);
    for (const auto& organisation : organisations) {
        digest = add_organisation_digest(digest, organisation);
    }
    return {{number, digest}, std::move(rows), bounds, std::move(organisations)};
}

auto to_text(const table_version& version) -> std::string
{
    constexpr std::size_t shown_digits = 8;
    return fmt::format("{} ({})", version.number_, to_hex(version.digest_).substr(0, shown_digits));
}

} // namespace sycamorewinch
