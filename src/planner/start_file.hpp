// What a planner is told at its start: the file that LB_CONFIG names, and the variables that go before it.
#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

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
    std::size_t sockets = 0;
    Terms terms;
    Names names;
    protocol::ListSaid known;
};

using Environment = std::function<const char*(const char*)>;

StartFile read_start_text(const std::string& text, const Environment& environment);  // throws BadStart
StartFile read_start_file(const Environment& environment);                           // throws BadStart

}  // namespace micaroad
