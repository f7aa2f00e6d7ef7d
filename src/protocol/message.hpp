// What comes in at the planner's address: one line to one message, with one of three verdicts.
// SymbolTable become numbers here, and milliseconds spans.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "micaroad/planner.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::protocol {

struct LivenessQuery {};
struct CollectorIdentified {
    ZoneId zone;
};
using Message =
    std::variant<LivenessQuery, CollectorIdentified, event::ProxyJoined, event::Acknowledgement,
                 event::EndpointLoadReport, event::DemandReport>;

// A known kind that can't be meant so: the line is dropped, what comes around it is good. The text
// says why.
struct Malformed {
    std::string why;
};
// Not of this protocol: nothing that follows can be trusted.
struct Unparseable {
    std::string why;
};
using ParseResult = std::variant<Message, Malformed, Unparseable>;

// What a figure can be in a deployment.
struct Bounds {
    int proxies = 1;
    Duration longest_window = std::chrono::seconds(60);  // of a report
    Duration longest_mean = std::chrono::seconds(60);    // of a try
};

ParseResult parse_message(std::string_view line, const SymbolTable& names, const Bounds& bounds);

inline constexpr std::string_view kAlive = "alive\r\n", kError = "error\r\n";

}  // namespace micaroad::protocol
