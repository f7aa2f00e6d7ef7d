// The notes that the parts of the module put into each other's inboxes, and the loop that empties these. What is done
// on a note, and so every decision, stands in balance.hpp.
#pragma once

#include <cmath>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad {

struct Listed { ListedServer entry; bool at_first = false; };  // at_first: in the first list of all
struct Unlisted {};  // a complete list without it
struct Beat {};      // a step's evidence is complete
struct Step {};      // time to move the weights
struct Pulse {};     // look again at what is waiting
struct Resubscribe {};
struct Standing {    // a server, as it sees itself
    ListedServer entry;
    bool open = false;
    std::optional<Instant> last_ok;
    double tries = 0, bad = 0, answer_seconds = 0, window = 0;
    bool steady = false;  // ready since the first list, no start known: nobody had a reason to shut it out
    bool gone() const { return !open && entry.phase == Phase::gone; }
};
struct Met { event::Outcomes said; ZoneId at; };  // with the zone of the server
struct Loose { ZoneId zone; int turn; };  // a proxy that is joined, not bound; its place among all joinings
struct Bound {  // one that is
    ZoneId zone;
    double rate = 0;  // RPCs a second
    std::size_t subset = 0;
    bool few = false;  // to a table of its own with a few servers of the subset
};
// Rank (0: can't wait, 1: learnt, 2: tidies up), size, server, pool (below 0: it leaves or comes back).
using Change = std::tuple<int, double, ServerId, int>;
// A server whose figures have changed; shares by pool, those of 0 left out. last: nobody speaks of it any more.
struct Wish {
    ServerId server;
    ZoneId zone;
    std::vector<std::pair<std::size_t, double>> shares;
    bool steady = false, cold = false, last = false;
};
struct Handover { TableId slice; ServerId server; double weight; };
struct Binding { TableId table; std::vector<MethodId> methods; std::optional<ZoneId> zone; };
// RPCs let in, by method; all proxies' load over what was heard of ours; RPCs a second that all told of.
struct Demand { Row rates; double all_over_ours = 1, told = 0; };
struct Published { bool any_cold, any_server; };  // all that changed has been told: is a server cold, is there one?
struct Levels { Row amounts; };               // by method

using Note = std::variant<Listed, Unlisted, Beat, Step, Pulse, Resubscribe, Standing, Wish, Handover, Binding,
                          Demand, Levels, Published, Met, event::Outcomes, event::ProxyJoined, event::ProxyLeft,
                          event::Arrivals, event::SliceGiven, event::SliceOwner, event::MarkApplied>;

struct Part {
    // Notes for which an inbox keeps memory while it is empty.
    static constexpr std::size_t kRoomKept = 256;
    std::vector<Note> inbox;
};

// Hands a part its notes, in order; one that means nothing to it is dropped.
template <class AnyPart>
void empty(AnyPart& part) {
    const auto hand = [&part](const auto& note) {
        if constexpr (requires { part.on(note); }) part.on(note);
    };
    std::vector<Note> batch;
    while (!part.inbox.empty()) {
        batch.clear(), batch.swap(part.inbox);
        for (const Note& note : batch) std::visit(hand, note);
    }
    batch.clear();
    if (batch.capacity() <= AnyPart::kRoomKept) batch.swap(part.inbox);
}

// The one loop: until no inbox holds a note.
template <class... Parts>
void empty_all(Parts&... parts) {
    while ((!parts.inbox.empty() || ...)) (empty(parts), ...);
}

// Events that can be meant.
inline bool counts(double all, double part) { return std::isfinite(all + part) && all > 0 && part >= 0; }
template <class Other>
bool sound(const Other&, const Terms&) { return true; }
inline bool sound(const event::Outcomes& met, const Terms&) {
    return counts(met.tries, met.bad) && met.mean >= Span{} && met.over > Span{};
}
inline bool sound(const event::Arrivals& came, const Terms& terms) {
    const bool known = came.method.value >= 0 && came.method.value < std::ssize(terms.methods);
    return known && counts(came.count, came.unanswered);
}

}  // namespace micaroad
