// What comes in at the planner's address: one line to one message, with one of three verdicts. Names become
// numbers here, and milliseconds spans.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "micaroad/planner.hpp"
#include "terms/terms.hpp"

namespace micaroad::protocol {

struct AliveAsked {};
struct CollectorNamed {
    ZoneId zone;
};
using Message = std::variant<AliveAsked, CollectorNamed, event::ProxyJoined, event::MarkApplied,
                             event::Outcomes, event::Arrivals>;

// A known kind that can't be meant so: the line is dropped, what comes around it is good. The text says why.
struct Spoilt {
    std::string why;
};
// Not of this protocol: nothing that follows can be trusted.
struct Unreadable {
    std::string why;
};
using Verdict = std::variant<Message, Spoilt, Unreadable>;

// What a figure can be in a deployment.
struct Bounds {
    int proxies = 1;
    Span longest_window = std::chrono::seconds(60);  // of a report
    Span longest_mean = std::chrono::seconds(60);    // of a try
};

Verdict read_message(std::string_view line, const Names& names, const Bounds& bounds);

inline constexpr std::string_view kAlive = "alive\r\n", kError = "error\r\n";

}  // namespace micaroad::protocol
