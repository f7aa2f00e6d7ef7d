#include "slope.hpp"

#include <algorithm>
#include <cmath>

namespace micaroad::scale {
namespace {

constexpr std::size_t kMinPoints = 4;
constexpr double kMaxResidualOfLargest = 0.1;  // residual, as a fraction of the largest value
constexpr double kMaxResidualOfOwn = 0.5;      // residual, as a fraction of its own point's value
constexpr double kMaxErrorsBelowZero = 2;

std::optional<Line> least_squares(const std::vector<Sample>& samples) {
    const double n = static_cast<double>(samples.size());
    double sum_x = 0, sum_y = 0;
    for (const Sample& sample : samples) {
        sum_x += sample.x;
        sum_y += sample.y;
    }
    Line line;
    line.points = static_cast<int>(samples.size());
    line.mean_x = sum_x / n;
    double products = 0;
    for (const Sample& sample : samples) {
        line.squares_x += (sample.x - line.mean_x) * (sample.x - line.mean_x);
        products += (sample.x - line.mean_x) * (sample.y - sum_y / n);
    }
    if (line.squares_x <= 0) {
        return std::nullopt;
    }
    line.slope = products / line.squares_x;
    line.intercept = sum_y / n - line.slope * line.mean_x;
    double squares = 0;
    for (const Sample& sample : samples) {
        const double residual = sample.y - line.at(sample.x);
        squares += residual * residual;
        line.largest_residual = std::max(line.largest_residual, std::abs(residual));
    }
    line.residual_deviation = std::sqrt(squares / (n - 2));
    line.slope_error = line.residual_deviation / std::sqrt(line.squares_x);
    line.intercept_error = line.predicted_error(0);
    return line;
}

std::optional<Power> fit_power(const std::vector<Sample>& samples) {
    std::vector<Sample> logarithms;
    for (const Sample& sample : samples) {
        if (sample.x <= 0) {
            continue;  // zero has no logarithm
        }
        if (sample.y <= 0) {
            return std::nullopt;
        }
        logarithms.push_back({std::log(sample.x), std::log(sample.y)});
    }
    if (logarithms.size() < kMinPoints) {
        return std::nullopt;
    }
    const auto line = least_squares(logarithms);
    if (!line) {
        return std::nullopt;
    }
    return Power{std::exp(line->intercept), line->slope, line->slope_error};
}

bool is_straight(const Line& line, const std::vector<Sample>& samples) {
    double largest = 0;
    for (const Sample& sample : samples) {
        largest = std::max(largest, std::abs(sample.y));
    }
    if (line.largest_residual > kMaxResidualOfLargest * largest) {
        return false;
    }
    if (line.intercept < -kMaxErrorsBelowZero * line.intercept_error) {
        return false;
    }
    return std::all_of(samples.begin(), samples.end(), [&line](const Sample& sample) {
        return std::abs(sample.y - line.at(sample.x)) <= kMaxResidualOfOwn * std::abs(sample.y);
    });
}

}  // namespace

double Line::predicted_error(double x) const {
    return residual_deviation * std::sqrt(1.0 / points + (x - mean_x) * (x - mean_x) / squares_x);
}

std::optional<Fit> fit(const std::vector<Sample>& samples) {
    if (samples.size() < kMinPoints) {
        return std::nullopt;
    }
    const auto line = least_squares(samples);
    if (!line) {
        return std::nullopt;
    }
    return Fit{*line, is_straight(*line, samples), fit_power(samples)};
}

}  // namespace micaroad::scale
