// Runs every scenario in tests/scenarios against the planner; tests/scenarios/README.md describes
// the notation.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "decision/queue_model.hpp"
#include "scenario_runner.hpp"

using namespace micaroad;
using namespace micaroad::decision;

TEST_CASE("every scenario meets its expectations and gives the same orders in a second run") {
    const auto files = test::scenario_files();
    REQUIRE(!files.empty());
    for (const auto& file : files) {
        DYNAMIC_SECTION(file.stem().string()) {
            CHECK(test::run_scenario<Planner>(file) == test::run_scenario<Planner>(file));
        }
    }
}

TEST_CASE("the gradient of the queue prediction is the slope of its predicted cost") {
    // The last three utilizations are above the clamp or slightly below it.
    const RealVector rate{4, 7, 1, 2, 9.9, 9.3, 11}, capacity{10, 9, 8, 3, 10, 10, 10};
    const TailPenalty tail{40, 1.5, 0.95};
    const QueuePrediction prediction = predict_queues(rate, capacity, tail);
    for (std::size_t i = 0; i < rate.size(); ++i) {
        const double step = 1e-5;
        RealVector rate_above = rate, rate_below = rate;
        rate_above[i] += step;
        rate_below[i] -= step;
        const double cost_difference = predict_queues(rate_above, capacity, tail).cost -
                                       predict_queues(rate_below, capacity, tail).cost;
        CHECK(prediction.gradient[i] == Approx(cost_difference / (2 * step)).epsilon(1e-3));
    }
}
