// A update as the lines of one message on a proxy's stream.
#pragma once

#include <string>

#include "protocol/line_reader.hpp"
#include "settings/deployment_settings.hpp"
#include "updates/proxy_update.hpp"

namespace micaroad::protocol {

// Absent if it needs more parts than a message may have. A part, CRLF included, has at most
// `longest` bytes.
std::optional<std::string> format_update(const ProxyUpdate& update, const SymbolTable& names,
                                         std::size_t longest = LineReader::kLongest);

}  // namespace micaroad::protocol
