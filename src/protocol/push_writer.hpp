/// Formats updates to proxies as text (PROTOCOL.md, "Orders on a stream"). Uses no sockets, threads
/// or clocks.
#pragma once

#include <optional>
#include <string>

#include "protocol/line_reader.hpp"
#include "settings/deployment_settings.hpp"
#include "updates/proxy_update.hpp"

namespace micaroad::protocol {

/// Formats the update as one message of one or more parts. Each part is a line of at most
/// `max_line_bytes`, including CRLF. Absent if the update needs more parts than a message may have.
[[nodiscard]] std::optional<std::string> format_update(
    const ProxyUpdate& update, const SymbolTable& names,
    std::size_t max_line_bytes = LineReader::kMaxLineBytes);

}  // namespace micaroad::protocol
