/** \file
 * Straight lines through measured points, by least squares.
 *
 * \code
 * const auto line = fit_line({{100, 12.0}, {200, 22.1}, {400, 42.0}});
 * line.at(20'000);   // what the line says of a size that was not measured
 * \endcode
 */
#pragma once

#include <vector>

namespace sycamorewinch {

/** One measured point: a size, and the median of what was measured at it. */
struct measured_point {
    double size_ = 0;
    double low_ = 0; ///< Smallest of the repeats.
    double median_ = 0;
    double high_ = 0; ///< Largest of the repeats.
};

/** A fitted line. */
struct fitted_line {
    double intercept_ = 0;
    double slope_ = 0;
    double slope_error_ = 0; ///< Standard error of the slope.
    double bend_ = 0;        ///< Slope of the upper half over the slope of the lower half.

    /** Returns the line's value at \p size. */
    [[nodiscard]] auto at(double size) const -> double { return intercept_ + slope_ * size; }
};

/** Returns the line through the medians of at least two points of different size. */
[[nodiscard]] auto fit_line(const std::vector<measured_point>& points) -> fitted_line;

/** Returns low, median and high of \p repeats at \p size. */
[[nodiscard]] auto summarize(double size, std::vector<double> repeats) -> measured_point;

} // namespace sycamorewinch
