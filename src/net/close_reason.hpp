/// Errors of a connection as values: why a message of its peer was not accepted, and why a
/// connection ends. Text is made of them in this module only, for the log and for StreamClosed.
#pragma once

#include <string>

namespace micaroad::net {

/// What is wrong with a message that was received.
enum class MessageFault {
    unparseable,              ///< not of this protocol: nothing behind it can be trusted
    malformed,                ///< a known kind with a value that is out of bounds
    already_identified,       ///< a peer that has identified itself already does so again
    connection_closing,       ///< identified itself when its connection was closing already
    peer_not_reading,         ///< the answer to it cannot be sent
    foreign_acknowledgement,  ///< acknowledges for another proxy, or is of no proxy
    report_not_allowed,       ///< an endpoint load report of a peer that is no collector
    demand_not_allowed,       ///< a demand report of neither a collector nor that proxy
};

struct MessageError {
    MessageFault fault;
    std::string detail;  ///< the parser's text; empty unless unparseable or malformed
};
std::string describe(const MessageError& error);

/// The event that ends a connection.
enum class CloseCause {
    peer_closed,
    peer_closed_mid_line,
    reset,
    invalid_input,  ///< a message or a line that costs the peer its connection
    join_timeout,   ///< still unidentified at its deadline
    idle_timeout,   ///< a collector that sent nothing for too long
};

struct CloseReason {
    CloseCause cause;
    std::string detail;  ///< of invalid_input: what was wrong
};
std::string describe(const CloseReason& reason);

}  // namespace micaroad::net
