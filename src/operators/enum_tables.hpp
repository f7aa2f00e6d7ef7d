/// The enums of the operator's file beside those of a plan: what reads and writes the file both use
/// these tables.
#pragma once

#include <algorithm>
#include <array>

#include "proto/operators.pb.h"
#include "routing/plan.hpp"

namespace micaroad::operators {

/// A value in the file, and in a plan.
template <class InFile, class InPlan>
struct EnumPair {
    InFile in_file;
    InPlan in_plan;
};

inline constexpr std::array kTiers{
    EnumPair{ACTIVE, routing::Tier::active},
    EnumPair{BACKUP, routing::Tier::backup},
};
inline constexpr std::array kStates{
    EnumPair{READY, routing::State::ready},
    EnumPair{DRAINING, routing::State::draining},
    EnumPair{DISABLED, routing::State::disabled},
    EnumPair{MAINTENANCE, routing::State::maintenance},
};
inline constexpr std::array kRetryConditions{
    EnumPair{FurtherTries::NEVER_RAN, routing::RetryRule::Condition::no_connection},
    EnumPair{FurtherTries::PUSHED_BACK, routing::RetryRule::Condition::not_executed},
    EnumPair{FurtherTries::ANY_FAILURE, routing::RetryRule::Condition::any_failure},
};
inline constexpr std::array kRetryTargets{
    EnumPair{FurtherTries::SAME, routing::RetryRule::Target::same},
    EnumPair{FurtherTries::OTHER_AT_LAST, routing::RetryRule::Target::other_on_last_retry},
    EnumPair{FurtherTries::OTHER, routing::RetryRule::Target::other},
};
inline constexpr std::array kStickinessKeys{
    EnumPair{Stickiness::SOURCE, routing::Stickiness::By::source},
    EnumPair{Stickiness::PATH, routing::Stickiness::By::path},
    EnumPair{Stickiness::HEADER, routing::Stickiness::By::header},
    EnumPair{Stickiness::QUERY, routing::Stickiness::By::query},
    EnumPair{Stickiness::COOKIE, routing::Stickiness::By::cookie},
    EnumPair{Stickiness::REQUEST, routing::Stickiness::By::request_hash},
};

/// The plan's value for the file's, which the table must have.
template <class InFile, class InPlan, std::size_t kSize>
[[nodiscard]] InPlan to_plan(const std::array<EnumPair<InFile, InPlan>, kSize>& table,
                             InFile value) {
    return std::find_if(table.begin(), table.end(),
                        [value](const auto& pair) { return pair.in_file == value; })
        ->in_plan;
}

/// The file's value for the plan's, which the table must have.
template <class InFile, class InPlan, std::size_t kSize>
[[nodiscard]] InFile to_file(const std::array<EnumPair<InFile, InPlan>, kSize>& table,
                             InPlan value) {
    return std::find_if(table.begin(), table.end(),
                        [value](const auto& pair) { return pair.in_plan == value; })
        ->in_file;
}

}  // namespace micaroad::operators
