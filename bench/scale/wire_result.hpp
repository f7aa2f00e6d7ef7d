// Results of the socket part of the scale run, and their JSON form.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "wire_options.hpp"
#include "wire_traffic.hpp"

namespace micaroad::scale::wire {

// Quantiles of delays, in milliseconds.
struct Delays {
    std::int64_t samples = 0;
    double p50 = 0, p99 = 0, p100 = 0;
};
Delays delays_of(const std::vector<double>& sorted_milliseconds);

// Per second and planner.
struct TrafficRates {
    double bytes_in = 0, bytes_out = 0, messages_in = 0, messages_out = 0;
    TrafficRates& operator+=(const TrafficRates& other);
};
TrafficRates rates_of(const Traffic& traffic, double seconds, int planners);

// Figures of all real or all hollow planners. Shares are fractions of one core; bytes are the
// proportional set size.
struct PlannerFigures {
    int planners = 0;
    int processes = 0;
    double share_mean = 0, share_max = 0;  // of a process
    double bytes_mean = 0, bytes_max = 0;  // of a process, at the end of the window
    TrafficRates all;                      // mean over the planners
    std::array<TrafficRates, kRoles>
        by_role{};  // by the role of the peer; the planners' entry is unused
};

// Figures of all stand-ins of one role.
struct StandInFigures {
    Role role = Role::proxy;
    int number = 0;
    double share = 0;  // of one core
};

struct ChangeFigures {
    std::int64_t announced = 0;  // ended servers, counted once per real planner
    Delays in_force;
    std::int64_t not_in_use = 0, overtaken = 0;
    std::int64_t not_in_force = 0;  // still pending when the limit was reached
};

struct EventFigures {
    WireEvent event = WireEvent::burst;
    std::int64_t servers = 0;  // servers that ended; 0 for dial
    double seconds = 0;        // until all changes were in force, or until the limit
    ChangeFigures changes;
    std::optional<Delays> first_message;  // dial: from the connection attempt to the first message
    std::int64_t first_messages_missing = 0;
    double planner_share_mean = 0;  // fraction of one core, mean over the real planners' processes
    TrafficRates planner_traffic;
    bool passed = true;
};

// Compares a rate of the hollow planners with that of the real ones. It is within the bound if the
// relative difference is at most the bound.
struct Comparison {
    std::string figure;
    double real = 0, hollow = 0;
    double difference = 0;  // as a fraction of the real rate
    bool within = true;
};

struct Check {
    std::string name;
    bool passed = true;
    std::string detail;
};

struct PointResult {
    std::string varied;  // parameter that differs from the base; "base" for the base itself
    WireWorld world;
    double start_seconds = 0, window_seconds = 0;
    PlannerFigures real, hollow;
    std::vector<StandInFigures> stand_ins;
    // Fraction of one core used by the process of the stand-ins. Near 1 the measured times are not
    // reliable.
    double stand_ins_share = 0;
    std::int64_t stand_ins_bytes = 0;
    double mean_table_size = 0;  // servers in use per proxy of a real planner
    ChangeFigures changes;
    std::vector<EventFigures> events;
    std::int64_t broken_streams = 0, unreadable_messages = 0, dropped_reports = 0;
    std::vector<Comparison> comparisons;
    std::vector<Check> checks;
    bool passed() const;
};

// A size that was not run, or not completed.
struct SkippedSize {
    std::string varied;
    WireWorld world;
    std::string reason;
};

nlohmann::json to_json(const WireWorld& world);
nlohmann::json to_json(const PointResult& point);
nlohmann::json to_json(const SkippedSize& skipped);

}  // namespace micaroad::scale::wire
