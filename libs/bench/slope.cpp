#include "bench/slope.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

struct plain_line {
    double intercept_ = 0;
    double slope_ = 0;
};

auto least_squares(const std::vector<measured_point>& points) -> plain_line
{
    const auto count = static_cast<double>(points.size());
    double size_sum = 0;
    double value_sum = 0;
    for (const auto& point : points) {
        size_sum += point.size_;
        value_sum += point.median_;
    }
    const auto mean_size = size_sum / count;
    const auto mean_value = value_sum / count;
    double across = 0;
    double spread = 0;
    for (const auto& point : points) {
        across += (point.size_ - mean_size) * (point.median_ - mean_value);
        spread += (point.size_ - mean_size) * (point.size_ - mean_size);
    }
    invariant(spread > 0, "a line needs points of different size, got {} alike", points.size());
    return {mean_value - across / spread * mean_size, across / spread};
}

auto error_of(const plain_line& line, const std::vector<measured_point>& points) -> double
{
    if (points.size() < 3) {
        return 0;
    }
    double residual = 0;
    double size_sum = 0;
    for (const auto& point : points) {
        const auto off = point.median_ - line.intercept_ - line.slope_ * point.size_;
        residual += off * off;
        size_sum += point.size_;
    }
    const auto mean = size_sum / static_cast<double>(points.size());
    double spread = 0;
    for (const auto& point : points) {
        spread += (point.size_ - mean) * (point.size_ - mean);
    }
    return std::sqrt(residual / static_cast<double>(points.size() - 2) / spread);
}

auto bend_of(const std::vector<measured_point>& points) -> double
{
    const auto& first = points.front();
    const auto& middle = points[points.size() / 2];
    const auto& last = points.back();
    if (points.size() < 3) {
        return 1;
    }
    const auto lower = (middle.median_ - first.median_) / (middle.size_ - first.size_);
    const auto upper = (last.median_ - middle.median_) / (last.size_ - middle.size_);
    return lower == 0 ? 1 : upper / lower;
}

} // namespace

auto fit_line(const std::vector<measured_point>& points) -> fitted_line
{
    const auto line = least_squares(points);
    return {line.intercept_, line.slope_, error_of(line, points), bend_of(points)};
}

auto summarize(double size, std::vector<double> repeats) -> measured_point
{
    invariant(!repeats.empty(), "size {} has no repeats", size);
    std::ranges::sort(repeats);
    return {size, repeats.front(), repeats[repeats.size() / 2], repeats.back()};
}

} // namespace sycamorewinch
