/// Places at which a test may hold a thread, so that it can force two things to happen in a chosen
/// order, such as a signal between two steps of a connection's start.
///
/// The program serves without SyncPoints. A test passes in its own, which holds the thread that
/// reaches a point, does meanwhile what is to happen in between, and lets the thread go on.
#pragma once

namespace micaroad {

/// Named after what has happened when the thread gets there.
enum class SyncPoint {
    connection_accepted,  ///< Acceptor: the kernel accepted it, nothing else refers to it yet
    connection_listed,    ///< EventLoop: it is in the maps, and not polled yet
    connection_ready,     ///< EventLoop: it is readable, and has not been read yet
    bytes_received,       ///< Connection: read from the kernel, not parsed yet
    watch_registered,     ///< DiscoveryWatch: stop() sees the socket, which is not connected yet
    watch_connected,      ///< DiscoveryWatch: the socket is connected, nothing was requested yet
    watch_requested,      ///< DiscoveryWatch: requested, and no answer was read
    watch_responded,      ///< DiscoveryWatch: an answer has ended or broken off, not evaluated yet
    health_check_registered,  ///< HealthCheckRunner: as watch_registered
    health_check_connected,   ///< HealthCheckRunner: as watch_connected
    core_stopped,             ///< PlannerProcess: the core has ended, its drivers still serve
};

class SyncPoints {
 public:
    virtual ~SyncPoints() = default;
    /// Called by any thread; may block it.
    virtual void reached(SyncPoint point) = 0;
};

/// Reports that the calling thread is at `point`; does nothing without `points`.
inline void reach(SyncPoints* points, SyncPoint point) {
    if (points != nullptr) {
        points->reached(point);
    }
}

}  // namespace micaroad
