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
inline constexpr std::array kRetryProofs{
    EnumPair{FurtherTries::NEVER_RAN, routing::FurtherTries::Proof::never_ran},
    EnumPair{FurtherTries::PUSHED_BACK, routing::FurtherTries::Proof::pushed_back},
    EnumPair{FurtherTries::ANY_FAILURE, routing::FurtherTries::Proof::any_failure},
};
inline constexpr std::array kRetryTargets{
    EnumPair{FurtherTries::SAME, routing::FurtherTries::Where::same},
    EnumPair{FurtherTries::OTHER_AT_LAST, routing::FurtherTries::Where::other_at_last},
    EnumPair{FurtherTries::OTHER, routing::FurtherTries::Where::other},
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
