/// Frozen reference implementation. tests/differential_test.cpp compares the optimized decisions of
/// src/ with it: both get the same events, and every order must be equal to the bit. Change it only
/// together with an intended change of behaviour, never for speed or style.
///
/// The reference planner: it takes the same events and gives the same orders as micaroad::Planner,
/// without the optimizations.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "decision/queue_model.hpp"
#include "micaroad/planner.hpp"

namespace micaroad::reference {

using decision::predict_queues;
using decision::QueuePrediction;
using decision::RealVector;
using decision::TailPenalty;

class Planner {
 public:
    Planner(DeploymentSettings settings, std::uint64_t seed);

    void handle(Event event);
    std::vector<Order> decide(TimePoint now);

 private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace micaroad::reference
