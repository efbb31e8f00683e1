#include "bench/slope.h"

#include <algorithm>
#include <cmath>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

struct line_coefficients {
    double intercept_ = 0;
    double slope_ = 0;
};

auto fit_least_squares(const std::vector<measured_point>& points) -> line_coefficients
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
    double cross_deviation_sum = 0;
    double squared_deviation_sum = 0;
    for (const auto& point : points) {
        cross_deviation_sum += (point.size_ - mean_size) * (point.median_ - mean_value);
        squared_deviation_sum += (point.size_ - mean_size) * (point.size_ - mean_size);
    }
    invariant(squared_deviation_sum > 0, "cannot fit a line: all {} points have the same size",
              points.size());
    return {mean_value - cross_deviation_sum / squared_deviation_sum * mean_size,
            cross_deviation_sum / squared_deviation_sum};
}

auto slope_standard_error(const line_coefficients& line, const std::vector<measured_point>& points)
    -> double
{
    if (points.size() < 3) {
        return 0;
    }
    double squared_residual_sum = 0;
    double size_sum = 0;
    for (const auto& point : points) {
        const auto residual = point.median_ - line.intercept_ - line.slope_ * point.size_;
        squared_residual_sum += residual * residual;
        size_sum += point.size_;
    }
    const auto mean = size_sum / static_cast<double>(points.size());
    double squared_deviation_sum = 0;
    for (const auto& point : points) {
        squared_deviation_sum += (point.size_ - mean) * (point.size_ - mean);
    }
    return std::sqrt(squared_residual_sum / static_cast<double>(points.size() - 2) /
                     squared_deviation_sum);
}

auto compute_bend(const std::vector<measured_point>& points) -> double
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
    const auto line = fit_least_squares(points);
    return {line.intercept_, line.slope_, slope_standard_error(line, points), compute_bend(points)};
}

auto summarize(double size, std::vector<double> repeats) -> measured_point
{
    invariant(!repeats.empty(), "no measurements at size {}", size);
    std::ranges::sort(repeats);
    return {size, repeats.front(), repeats[repeats.size() / 2], repeats.back()};
}

} // namespace sycamorewinch
