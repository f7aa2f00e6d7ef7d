#include "net/close_reason.hpp"

namespace micaroad::net {

std::string describe(const MessageError& error) {
    switch (error.fault) {
        case MessageFault::unparseable:
        case MessageFault::malformed:
            return error.detail;
        case MessageFault::already_identified:
            return "peer has identified itself already";
        case MessageFault::connection_closing:
            return "connection was shed before it was identified";
        case MessageFault::peer_not_reading:
            return "peer does not read";
        case MessageFault::foreign_acknowledgement:
            return "acknowledgement not of this proxy";
        case MessageFault::report_not_allowed:
            return "endpoint load report not of a collector";
        case MessageFault::demand_not_allowed:
            return "demand report of neither a collector nor that proxy";
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
    }
    return "unknown reason";
}

}  // namespace micaroad::net
