/// Updates to proxies as text (PROTOCOL.md, "Orders on a stream"). Values in, bytes out; no
/// sockets, threads or clocks.
#pragma once

#include <optional>
#include <string>

#include "protocol/line_reader.hpp"
#include "settings/deployment_settings.hpp"
#include "updates/proxy_update.hpp"

namespace micaroad::protocol {

/// The update as one message of one or more parts, each a line of at most `longest` bytes, CRLF
/// included. Absent if it needs more parts than a message may have.
[[nodiscard]] std::optional<std::string> format_update(
    const ProxyUpdate& update, const SymbolTable& names,
    std::size_t max_line_bytes = LineReader::kMaxLineBytes);

}  // namespace micaroad::protocol
