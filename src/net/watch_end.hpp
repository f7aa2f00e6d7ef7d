/// How a connection to discovery ended, as a value; text is made of it for the log only.
#pragma once

#include <cstddef>
#include <string>

namespace micaroad::net {

enum class WatchEndCause {
    no_socket,
    no_buffer,
    not_connected,
    interrupted,  ///< superseded, stopped, or the complete list is wanted
    reset,
    idle_timeout,  ///< no byte came in time
    line_overdue,  ///< no complete line came in time
    peer_closed,
    response_complete,
    bad_status,
    malformed_response,
    malformed_list,
    list_too_long,
};

/// How far a connection to discovery had come when it ended.
enum class WatchPhase {
    connecting,
    requested,  ///< the request was sent, no line has come
    following,  ///< a line has come, an empty one at least
};

struct WatchEnd {
    WatchEndCause cause;
    WatchPhase phase = WatchPhase::connecting;
    int http_status = 0;             ///< of bad_status
    std::size_t max_list_bytes = 0;  ///< of list_too_long: the bound
};
std::string describe(const WatchEnd& end);

}  // namespace micaroad::net
