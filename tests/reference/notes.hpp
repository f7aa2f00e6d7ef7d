/// Frozen reference implementation. tests/differential_test.cpp holds the optimized decisions of
/// src/ against it: both get the same events, and every order must be equal to the bit. Change it
/// only together with an intended change of behaviour, never for speed or style.
///
/// The notes that the parts of the module put into each other's inboxes, and the loop that empties
/// these. What is done on a note, and so every decision, stands in balance.cpp.
#pragma once

#include <cmath>
#include <deque>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "reference/planner.hpp"

namespace micaroad::reference {

struct Listed {
    ListedEndpoint entry;
    bool at_first = false;
};  // at_first: in the first list of all
struct Unlisted {};  // a complete list without it
struct Beat {};      // a step's evidence is complete
struct Step {};      // time to move the weights
struct Pulse {};     // look again at what is waiting
struct Resubscribe {};
struct Standing {  // a server, as it sees itself
    ListedEndpoint entry;
    bool open = false;
    std::optional<TimePoint> last_ok;
    double tries = 0, bad = 0, answer_seconds = 0, window = 0;
    bool steady =
        false;  // ready since the first list, no start known: nobody had a reason to shut it out
    bool gone() const { return !open && entry.phase == EndpointPhase::gone; }
};
struct Met {
    event::EndpointLoadReport said;
    ZoneId at;
};  // with the zone of the server
struct Loose {
    ZoneId zone;
    int turn;
};  // a proxy that is joined, not bound; its place among all joinings
struct Bound {  // one that is
    ZoneId zone;
    double rate = 0;  // RPCs a second
    std::size_t subset = 0;
    bool few = false;  // to a table of its own with a few servers of the subset
};
// Rank (0: can't wait, 1: learnt, 2: tidies up), size, server, pool (below 0: it leaves or comes
// back).
using Change = std::tuple<int, double, ServerId, int>;
struct Wish {
    Standing seen;
    RealVector shares;
    bool cold;
};  // by pool
struct Handover {
    TableId slice;
    ServerId server;
    double weight;
};
struct Binding {
    TableId table;
    std::vector<MethodId> methods;
    std::optional<ZoneId> zone;
};
// RPCs let in, by method; all proxies' load over what was heard of ours; RPCs a second that all
// told of.
struct Demand {
    RealVector rates;
    double all_over_ours = 1, told = 0;
};
struct Cold {
    bool any;
};  // is a server still cold?
struct Levels {
    RealVector amounts;
};  // by method

using Note = std::variant<Listed, Unlisted, Beat, Step, Pulse, Resubscribe, Standing, Wish,
                          Handover, Binding, Demand, Levels, Cold, Met, event::EndpointLoadReport,
                          event::ProxyJoined, event::ProxyLeft, event::DemandReport,
                          event::SliceAssigned, event::SliceOwnerReported, event::Acknowledgement>;

struct Part {
    std::deque<Note> inbox;
};

// Hands a part its notes, in order; one that means nothing to it is dropped.
template <class AnyPart>
void empty(AnyPart& part) {
    for (; !part.inbox.empty(); part.inbox.pop_front()) {
        std::visit(
            [&part](const auto& note) {
                if constexpr (requires { part.on(note); }) {
                    part.on(note);
                }
            },
            part.inbox.front());
    }
}

// The one loop: until no inbox holds a note.
template <class... Parts>
void empty_all(Parts&... parts) {
    while ((!parts.inbox.empty() || ...)) {
        (empty(parts), ...);
    }
}

// Events that can be meant.
inline bool counts(double all, double part) {
    return std::isfinite(all + part) && all > 0 && part >= 0;
}
template <class Other>
bool sound(const Other&, const DeploymentSettings&) {
    return true;
}
inline bool sound(const event::EndpointLoadReport& met, const DeploymentSettings&) {
    return counts(met.attempts, met.failures) && met.mean_latency >= Duration{} &&
           met.window > Duration{};
}
inline bool sound(const event::DemandReport& came, const DeploymentSettings& settings) {
    const bool known = came.method.value >= 0 && came.method.value < std::ssize(settings.methods);
    return known && counts(came.requests, came.unanswered);
}

}  // namespace micaroad::reference
