// Straight lines through measured points, and when not to trust them.
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
    double largest_residual = 0;                  // absolute, in the unit of y
    double residual_deviation = 0;                // of the residuals, with n - 2 degrees of freedom
    double mean_x = 0, squares_x = 0;  // what a prediction's error needs: see predicted_error()
    int points = 0;

    double at(double x) const { return intercept + slope * x; }
    // Standard error of the line's value at x.
    double predicted_error(double x) const;
};

// y = factor * x ^ exponent
struct Power {
    double factor = 0, exponent = 0, exponent_error = 0;
};

struct Fit {
    Line line;
    // The line may be used past its points: no residual is over a tenth of the largest value nor
    // over half of its own point's value, and the intercept is not below zero by more than two
    // standard errors.
    bool straight = false;
    std::optional<Power> power;  // absent where a point is not above zero
};

// Absent under four points, or where all stand at one x.
std::optional<Fit> fit(const std::vector<Sample>& samples);

}  // namespace micaroad::scale
