/** \file
 * Fits straight lines to measured points by least squares.
 *
 * \code
 * const auto line = fit_line({{100, 12.0}, {200, 22.1}, {400, 42.0}});
 * line.at(20'000);   // the estimate for a size that was not measured
 * \endcode
 */
#pragma once

#include <vector>

namespace sycamorewinch {

/** A size, and the range and median of the measurements at that size. */
struct measured_point {
    double size_ = 0;
    double low_ = 0; ///< Minimum of the repeats.
    double median_ = 0;
    double high_ = 0; ///< Maximum of the repeats.
};

/** A fitted line. */
struct fitted_line {
    double intercept_ = 0;
    double slope_ = 0;
    double slope_error_ = 0; ///< Standard error of the slope.
    double bend_ = 0;        ///< Slope of the upper half divided by that of the lower half.

    /** Returns the line's value at \p size. */
    [[nodiscard]] auto at(double size) const -> double { return intercept_ + slope_ * size; }
};

/** Fits a line to the medians of \p points, which need at least two different sizes. */
[[nodiscard]] auto fit_line(const std::vector<measured_point>& points) -> fitted_line;

/** Returns the point at \p size with minimum, median and maximum of \p repeats. */
[[nodiscard]] auto summarize(double size, std::vector<double> repeats) -> measured_point;

} // namespace sycamorewinch
