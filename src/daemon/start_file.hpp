// What a planner is told at its start: the file that LB_CONFIG names, and the variables that go before it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "planner/ports.hpp"
#include "protocol/message.hpp"
#include "protocol/server_list.hpp"
#include "terms/terms.hpp"

namespace micaroad {

// The text names the key or variable that is missing or can't be used.
struct BadStart : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct StartFile {
    std::string name, listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 0, memory_mb = 0;
    Terms terms;
    Names names;
    protocol::Bounds bounds;
    protocol::ListSaid known;
    std::map<std::string, std::string> rest;  // keys that a new reading does not change, as they were told
};

using Environment = std::function<const char*(const char*)>;

StartFile read_start_text(const std::string& text, const Environment& environment);  // throws BadStart
StartFile read_start_file(const Environment& environment);                           // throws BadStart

// The same file while the program serves. Its address of discovery counts, whatever LB_DISCOVERY held at the
// start: a process can't be told a new variable.
Reread reread_start_text(const std::string& text, const StartFile& start);         // throws BadStart
Reread reread_start_file(const Environment& environment, const StartFile& start);  // throws BadStart

}  // namespace micaroad
