// What a scale run on sockets has measured, and its JSON form.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "wire_options.hpp"
#include "wire_traffic.hpp"

namespace micaroad::scale::wire {

// Times from told to in force, in milliseconds.
struct Delays {
    std::int64_t samples = 0;
    double p50 = 0, p99 = 0, p100 = 0;
};
Delays delays_of(const std::vector<double>& sorted_milliseconds);

// A second and planner.
struct TrafficRates {
    double bytes_in = 0, bytes_out = 0, messages_in = 0, messages_out = 0;
    TrafficRates& operator+=(const TrafficRates& other);
};
TrafficRates rates_of(const Traffic& traffic, double seconds, int planners);

// A group of planners: the real ones or the hollow ones. Shares are of one core, bytes
// proportional.
struct PlannerFigures {
    int planners = 0;
    int processes = 0;
    double share_mean = 0, share_most = 0;       // of a process
    double bytes_mean = 0, bytes_most = 0;       // of a process, at the end of the window
    TrafficRates all;                            // in the mean of the group's planners
    std::array<TrafficRates, kRoles> by_role{};  // at the other end; that of planners stays empty
};

// All stand-ins of one role.
struct StandInFigures {
    Role role = Role::proxy;
    int number = 0;
    double share = 0;  // of one core
};

struct ChangeFigures {
    std::int64_t told = 0;  // server ends, once for each real planner
    Delays in_force;
    std::int64_t not_holding = 0, overtaken = 0;
    std::int64_t not_in_force = 0;  // when the limit was reached
};

struct EventFigures {
    WireEvent event = WireEvent::burst;
    std::int64_t servers = 0;  // that ended; none for dial
    double seconds = 0;        // until all was in force, or the limit
    ChangeFigures changes;
    std::optional<Delays> first_message;  // dial: from dialling to a proxy's first message
    std::int64_t first_messages_missing = 0;
    double planner_share_mean = 0;  // of one core, of the real planners' processes
    TrafficRates planner_traffic;
    bool passed = true;
};

// A hollow planner's rate beside a real one's. Within the bound if it differs by no more than that
// part of the real one's.
struct Comparison {
    std::string figure;
    double real = 0, hollow = 0;
    double difference = 0;  // part of the real one's
    bool within = true;
};

struct Check {
    std::string name;
    bool passed = true;
    std::string seen;
};

struct PointResult {
    std::string varied;  // what differs from the base; "base" for the base itself
    WireWorld world;
    double start_seconds = 0, window_seconds = 0;
    PlannerFigures real, hollow;
    std::vector<StandInFigures> stand_ins;
    double stand_ins_share =
        0;  // of one core, of their process; times are in doubt where it is near 1
    std::int64_t stand_ins_bytes = 0;
    double mean_table = 0;  // servers that a proxy of a real planner uses
    ChangeFigures changes;
    std::vector<EventFigures> events;
    std::int64_t broken_streams = 0, unreadable_messages = 0, dropped_reports = 0;
    std::vector<Comparison> comparisons;
    std::vector<Check> checks;
    bool passed() const;
};

// A size that was not played, or not to its end.
struct LeftOut {
    std::string varied;
    WireWorld world;
    std::string why;
};

nlohmann::json to_json(const WireWorld& world);
nlohmann::json to_json(const PointResult& point);
nlohmann::json to_json(const LeftOut& left_out);

}  // namespace micaroad::scale::wire
