// Named places between two lines at which something else may come in between: a signal, an end, an
// answer. In service nobody stands there. A test passes in its own SyncPoints, holds the thread
// that reaches one, does the crossing meanwhile and lets it go on: so the crossing is forced, not
// hoped for.
#pragma once

namespace micaroad {

enum class SyncPoint {
    connection_accepted,  // Acceptor: the kernel gave it, nobody knows of it yet
    connection_listed,    // EventLoop: it stands in the maps and is not watched yet
    connection_ready,     // EventLoop: there is something to read, which has not been read yet
    bytes_received,       // Connection: out of the kernel, not taken yet
    watch_registered,  // DiscoveryWatch: whoever stops it sees the socket, which is not connected
                       // yet
    watch_connected,   // and now it is; nothing has been asked
    watch_asked,       // and nothing has been answered
    watch_answered,    // an answer has ended, or broken off; nothing was made of that yet
    probe_registered,  // Prober: as for the watch
    probe_connected,
    core_heard_stop,  // PlannerProcess: the core has ended, the drivers serve on
};

class SyncPoints {
 public:
    virtual ~SyncPoints() = default;
    virtual void reached(SyncPoint point) = 0;  // any thread; may hold it
};

// Absent wherever the program serves.
inline void reach(SyncPoints* points, SyncPoint point) {
    if (points != nullptr) {
        points->reached(point);
    }
}

}  // namespace micaroad
