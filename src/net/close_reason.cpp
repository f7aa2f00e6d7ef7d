#include "net/close_reason.hpp"

namespace micaroad::net {

std::string describe(const MessageError& error) {
    switch (error.fault) {
        case MessageFault::unparseable:
        case MessageFault::malformed:
            return error.detail;
        case MessageFault::already_identified:
            return "peer has already identified itself";
        case MessageFault::connection_closing:
            return "connection was closed before its peer identified itself";
        case MessageFault::peer_not_reading:
            return "peer is not reading";
        case MessageFault::foreign_acknowledgement:
            return "acknowledgement is not from the proxy of this connection";
        case MessageFault::report_not_allowed:
            return "endpoint load report is not from a collector";
        case MessageFault::demand_not_allowed:
            return "demand report is neither from a collector nor from the proxy it names";
    }
    return "unknown fault";
}

std::string describe(const CloseReason& reason) {
    switch (reason.cause) {
        case CloseCause::peer_closed:
            return "closed by peer";
        case CloseCause::peer_closed_mid_line:
            return "closed by peer in the middle of a line";
        case CloseCause::reset:
            return "reset";
        case CloseCause::invalid_input:
            return reason.detail;
        case CloseCause::join_timeout:
            return "not identified in time";
        case CloseCause::idle_timeout:
            return "idle timeout";
        case CloseCause::longest_line:
            return "longest unfinished line while line buffers are short";
    }
    return "unknown reason";
}

}  // namespace micaroad::net
