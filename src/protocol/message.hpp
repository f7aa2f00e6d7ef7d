// What comes in at the planner's address: one line to one message. Names become numbers here, and
// milliseconds spans.
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

// One that can't be meant: the text says why.
struct Unreadable {
    std::string why;
};

std::variant<Message, Unreadable> read_message(std::string_view line, const Names& names, int proxies);

inline constexpr std::string_view kAlive = "alive\r\n";

}  // namespace micaroad::protocol
