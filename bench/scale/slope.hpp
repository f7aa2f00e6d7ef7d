// Fits straight lines to measured points and decides whether a line may be extrapolated.
#pragma once

#include <optional>
#include <vector>

namespace micaroad::scale {

struct Sample {
    double x = 0, y = 0;
};

struct Line {
    double intercept = 0, slope = 0;
    double intercept_error = 0, slope_error = 0;  // standard errors
    double largest_residual = 0;                  // absolute value, in the unit of y
    double residual_deviation = 0;                // of the residuals, with n - 2 degrees of freedom
    double mean_x = 0, squares_x = 0;             // squares_x: sum of (x - mean_x)^2
    int points = 0;

    double at(double x) const { return intercept + slope * x; }
    // Standard error of the line's value at x. Uses mean_x and squares_x.
    double predicted_error(double x) const;
};

// y = factor * x ^ exponent
struct Power {
    double factor = 0, exponent = 0, exponent_error = 0;
};

struct Fit {
    Line line;
    // Whether the line may be extrapolated: no residual exceeds a tenth of the largest value or
    // half of its own point's value, and the intercept is at most two standard errors below zero.
    bool straight = false;
    std::optional<Power>
        power;  // absent if a y value at x > 0 is not positive, or fewer than four x are
};

// Absent for fewer than four points, or if all have the same x.
std::optional<Fit> fit(const std::vector<Sample>& samples);

}  // namespace micaroad::scale
