// A letter as the lines of one message on a proxy's stream.
#pragma once

#include <string>

#include "outbox/letter.hpp"
#include "protocol/line_reader.hpp"
#include "terms/terms.hpp"

namespace micaroad::protocol {

// Absent if it needs more parts than a message may have. A part, CRLF included, has at most `longest` bytes.
std::optional<std::string> write_push(const Letter& letter, const Names& names,
                                      std::size_t longest = LineReader::kLongest);

}  // namespace micaroad::protocol
