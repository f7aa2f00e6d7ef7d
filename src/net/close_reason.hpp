/// Errors of a connection as values: why a peer's message was rejected, and why a connection was
/// closed. Only this module turns them into text, for the log and for StreamClosed.
#pragma once

#include <string>

namespace micaroad::net {

/// Why a received message is rejected.
enum class MessageFault {
    unparseable,              ///< not of this protocol: nothing after it can be trusted
    malformed,                ///< of a known kind, with a missing or invalid value
    already_identified,       ///< the peer identifies itself a second time
    connection_closing,       ///< the peer identifies itself on a connection that is being closed
    peer_not_reading,         ///< the answer could not be sent
    foreign_acknowledgement,  ///< an acknowledgement for another proxy, or from a peer that is no
                              ///< proxy
    report_not_allowed,       ///< an endpoint load report from a peer that is no collector
    demand_not_allowed,       ///< a demand report from neither a collector nor the proxy it names
};

struct MessageError {
    MessageFault fault;
    std::string detail;  ///< the parser's message; empty unless unparseable or malformed
};
std::string describe(const MessageError& error);

/// The event that closes a connection.
enum class CloseCause {
    peer_closed,
    peer_closed_mid_line,
    reset,
    invalid_input,  ///< a message or line that the connection must be closed for
    join_timeout,   ///< the peer was still unidentified at its deadline
    idle_timeout,   ///< a collector sent nothing for kCollectorIdleTimeout
    longest_line,   ///< its unfinished line was the longest when line buffers ran short
};

struct CloseReason {
    CloseCause cause;
    std::string detail;  ///< for invalid_input: what was wrong
};
std::string describe(const CloseReason& reason);

}  // namespace micaroad::net
