/// Tables that map the enums of the operator's file to those of a plan. The readers and the writers
/// of the file both use them.
#pragma once

#include <algorithm>
#include <array>

#include "proto/operators.pb.h"
#include "routing/plan.hpp"

namespace micaroad::operators {

/// An enum value of the file and the equivalent value of a plan.
template <class FileEnum, class PlanEnum>
struct EnumPair {
    FileEnum file_value;
    PlanEnum plan_value;
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

/// Returns the plan's value for a value of the file, which the table must contain.
template <class FileEnum, class PlanEnum, std::size_t kSize>
[[nodiscard]] PlanEnum to_plan(const std::array<EnumPair<FileEnum, PlanEnum>, kSize>& table,
                               FileEnum value) {
    return std::find_if(table.begin(), table.end(),
                        [value](const auto& pair) { return pair.file_value == value; })
        ->plan_value;
}

/// Returns the file's value for a value of the plan, which the table must contain.
template <class FileEnum, class PlanEnum, std::size_t kSize>
[[nodiscard]] FileEnum to_file(const std::array<EnumPair<FileEnum, PlanEnum>, kSize>& table,
                               PlanEnum value) {
    return std::find_if(table.begin(), table.end(),
                        [value](const auto& pair) { return pair.plan_value == value; })
        ->file_value;
}

}  // namespace micaroad::operators
