/// The writers of the operator's file, one for each top-level message and one for nested matches.
/// Values equal to the schema's defaults are left out.
#pragma once

#include <cstdint>

#include "proto/operators.pb.h"
#include "routing/plan.hpp"

namespace micaroad::operators {

void write_listener(const routing::Listener& listener, Listener& message);
void write_match(const routing::Match& match, Match& message);
void write_pool(const routing::Pool& pool, Pool& message);
void write_planner(const routing::Service& service, Planner& message);
void write_recording(const routing::Recording& recording, Recording& message);

/// Converts a number of a plan, which is never negative, to the type of the file's fields.
[[nodiscard]] inline std::uint32_t to_unsigned(int number) {
    return static_cast<std::uint32_t>(number);
}

}  // namespace micaroad::operators
