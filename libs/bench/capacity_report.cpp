#include "bench/capacity_report.h"

#include <fmt/format.h>

namespace sycamorewinch {

namespace {

constexpr std::string_view end_marker = "<!-- end generated -->";

auto sizes_text(const series& entry) -> std::string
{
    return fmt::format("{:g} to {:g} {}", entry.points_.front().size_, entry.points_.back().size_,
                       entry.size_name_);
}

auto margin_text(const capacity_row& row) -> std::string
{
    if (row.budget_ <= 0) {
        return "none stated";
    }
    const auto fits = row.value_ <= row.budget_;
    return fmt::format("{:g}: {}", row.budget_,
                       fits ? fmt::format("{:.1f} times below", row.budget_ / row.value_)
                            : std::string("does not close"));
}

} // namespace

auto slopes_table(const raw_run& run) -> std::string
{
    std::string table =
        "| series | unit | sizes | at the largest: min, median, max | line | slope's "
        "error | bend | repeats exactly |\n|---|---|---|---|---|---|---|---|\n";
    for (const auto& entry : run.series_) {
        const auto& last = entry.points_.back();
        const auto line =
            entry.points_.size() < 2 ? fitted_line{last.median_} : fit_line(entry.points_);
        table += fmt::format("| `{}` | {} | {} | {:.4g}, {:.4g}, {:.4g} | {:.4g} + {:.4g} x | "
                             "{:.2g} | {:.2f} | {} |\n",
                             entry.name_, entry.unit_, sizes_text(entry), last.low_, last.median_,
                             last.high_, line.intercept_, line.slope_, line.slope_error_,
                             line.bend_, entry.is_exact_ ? "yes" : "no");
    }
    return table;
}

auto capacity_table(const std::vector<capacity_row>& rows) -> std::string
{
    std::string table = "| role | figure | at the target | budget | from | extrapolated |\n"
                        "|---|---|---|---|---|---|\n";
    for (const auto& row : rows) {
        table += fmt::format("| {} | {} | {:.3g} {} | {} | {} | {} |\n", row.role_, row.quantity_,
                             row.value_, row.unit_, margin_text(row),
                             row.sources_.empty() ? "arithmetic" : row.sources_,
                             row.extrapolated_ ? "yes" : "no");
    }
    return table;
}

auto replace_table(const std::string& page, const std::string& name, const std::string& table)
    -> result<std::string>
{
    const auto marker = fmt::format("<!-- generated: {} -->\n", name);
    const auto start = page.find(marker);
    const auto end = start == std::string::npos ? start : page.find(end_marker, start);
    if (end == std::string::npos) {
        return failure(error_kind::not_found,
                       fmt::format("the page lacks the lines '<!-- generated: {} -->' and '{}'",
                                   name, end_marker));
    }
    return page.substr(0, start + marker.size()) + table + page.substr(end);
}

} // namespace sycamorewinch
