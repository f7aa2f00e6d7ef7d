// Runs every file in tests/scenarios against the planner; tests/scenarios/README.md describes the
// notation.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "decision/queue_model.hpp"
#include "scenario_runner.hpp"

using namespace micaroad;
using namespace micaroad::decision;

TEST_CASE("every scenario plays out, and twice alike") {
    const auto files = test::scenario_files();
    REQUIRE(!files.empty());
    for (const auto& file : files) {
        DYNAMIC_SECTION(file.stem().string()) {
            CHECK(test::run_scenario<Planner>(file) == test::run_scenario<Planner>(file));
        }
    }
}

TEST_CASE("the slope is that of the predicted cost") {
    // The last three are close to the clamp and past it.
    const RealVector rate{4, 7, 1, 2, 9.9, 9.3, 11}, capacity{10, 9, 8, 3, 10, 10, 10};
    const TailPenalty tail{40, 1.5, 0.95};
    const QueuePrediction here = predict_queues(rate, capacity, tail);
    for (std::size_t i = 0; i < rate.size(); ++i) {
        const double h = 1e-5;
        RealVector up = rate, down = rate;
        up[i] += h;
        down[i] -= h;
        const double rise =
            predict_queues(up, capacity, tail).cost - predict_queues(down, capacity, tail).cost;
        CHECK(here.gradient[i] == Approx(rise / (2 * h)).epsilon(1e-3));
    }
}
