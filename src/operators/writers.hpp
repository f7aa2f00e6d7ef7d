/// The writers of the operator's file, one for each message that stands at its top. Values that
/// are the schema's defaults are left out.
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

/// A number of a plan, which is never negative, as the file's fields hold it.
[[nodiscard]] inline std::uint32_t to_unsigned(int number) {
    return static_cast<std::uint32_t>(number);
}

}  // namespace micaroad::operators
