/// Synchronization points at which a test can block a thread, in order to force a certain
/// interleaving, such as a signal between two steps of a connection's start.
///
/// The program itself runs without SyncPoints. A test passes an implementation that blocks the
/// thread at a point, performs the interleaved action, and lets the thread continue.
#pragma once

namespace micaroad {

/// Each point is named after the step that the thread has just completed.
enum class SyncPoint {
    connection_accepted,      ///< Acceptor: accepted by the kernel, nothing else refers to it yet
    connection_listed,        ///< EventLoop: added to the maps, not polled yet
    connection_ready,         ///< EventLoop: readable, not read yet
    bytes_received,           ///< Connection: bytes read from the socket, not parsed yet
    watch_registered,         ///< DiscoveryWatch: stop() can reach the socket, not connected yet
    watch_connected,          ///< DiscoveryWatch: socket connected, no request sent yet
    watch_requested,          ///< DiscoveryWatch: request sent, no response read yet
    watch_responded,          ///< DiscoveryWatch: response ended or interrupted, not evaluated yet
    health_check_registered,  ///< HealthCheckRunner: as watch_registered
    health_check_connected,   ///< HealthCheckRunner: as watch_connected
    core_stopped,             ///< PlannerProcess: the core has ended, its drivers still run
};

class SyncPoints {
 public:
    virtual ~SyncPoints() = default;
    /// Called by any thread, which it may block.
    virtual void reached(SyncPoint point) = 0;
};

/// Reports that the calling thread has reached `point`; does nothing if `points` is null.
inline void reach(SyncPoints* points, SyncPoint point) {
    if (points != nullptr) {
        points->reached(point);
    }
}

}  // namespace micaroad
