/// Concurrency limits of a pool: decides which RPCs run, which wait in a queue, and which are
/// rejected.
///
/// The limits prevent overload of the servers and unbounded queues: an RPC that can't run in time
/// is rejected, and the rejection is final. The risk is a limit below what the servers can handle:
/// the operator sets the limits, and nothing here raises them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// Identifies an RPC. The caller chooses it, unique among the RPCs that run or wait.
using RpcNumber = Id<struct RpcNumberTag, std::uint64_t>;

/// Enforces the limits of one pool: the number of RPCs that run at once at each server and in the
/// pool, and the length of queues. The caller passes the time; this class reads no clock. Not
/// thread-safe.
///
///     request() --> admitted -----------finish()-------------------> forgotten
///         |             ^                                                ^
///         |             | capacity is free: returned by finish(), close_server(), open_server()
///         |             |                                                |
///         +-------> queued ------finish() (the client left), expire()----+
///         |
///         +-------> rejected (the queue is full, or the server is closed)
class Limiter {
 public:
    enum class Outcome { admitted, queued, rejected };

    struct Admission {
        RpcNumber rpc;
        Outcome outcome = Outcome::rejected;
        std::string server;    ///< admitted: where it runs; otherwise meaningless
        TimePoint timeout_at;  ///< queued: the time at which expire() rejects it
    };

    /// Copies the limits of the pool, which need not outlive the limiter.
    explicit Limiter(const Pool& pool);

    /// Requests that an RPC run at one server; it may wait in that server's queue. Rejected if the
    /// server is unknown or closed, its queue is full, or the RPC already runs or waits.
    [[nodiscard]] Admission request(RpcNumber rpc, const std::string& server, TimePoint now);
    /// Requests that an RPC run at the first of these servers that has capacity; it may wait in the
    /// pool's queue. Rejected if `servers` is empty or the RPC already runs or waits.
    [[nodiscard]] Admission request_any(RpcNumber rpc, const std::vector<std::string>& servers,
                                        TimePoint now);

    /// Removes an RPC that ended or whose client left. Returns the queued RPCs that are admitted in
    /// its place; none for an unknown number.
    std::vector<Admission> finish(RpcNumber rpc);

    /// Stops admitting RPCs to a server. RPCs in its queue may run at any of `others` instead;
    /// returns those that are admitted.
    std::vector<Admission> close_server(const std::string& server,
                                        const std::vector<std::string>& others);
    /// Undoes close_server(). Returns the queued RPCs that are admitted.
    std::vector<Admission> open_server(const std::string& server);

    /// Rejects the queued RPCs whose timeout is over, in the order of arrival.
    [[nodiscard]] std::vector<Admission> expire(TimePoint now);
    /// The next time at which expire() rejects an RPC; absent while the queue is empty.
    [[nodiscard]] std::optional<TimePoint> next_timeout() const;

    [[nodiscard]] int running(const std::string& server) const;
    [[nodiscard]] int running() const { return static_cast<int>(running_.size()); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

 private:
    struct ServerState {
        int max_running = 0;  // 0: no limit
        int max_queued = 0;   // 0: no limit
        int running = 0;
        int queued = 0;  // in the server's own queue
        bool closed = false;
    };
    struct QueuedRpc {
        RpcNumber rpc;
        std::vector<std::string> servers;  // in order of preference
        bool in_server_queue = false;      // the queue of the first server, not the pool's
        TimePoint timeout_at;
    };
    // By arrival number. This is also the order of timeouts, as the pool's queue timeout is the
    // same for all RPCs.
    using Queue = std::map<std::uint64_t, QueuedRpc>;

    [[nodiscard]] bool is_known(RpcNumber rpc) const;
    [[nodiscard]] bool server_has_capacity(const std::string& server) const;
    [[nodiscard]] bool pool_has_capacity() const;
    Admission admit(RpcNumber rpc, const std::string& server);
    [[nodiscard]] static Admission reject(RpcNumber rpc, const std::string& server);
    Admission enqueue(QueuedRpc queued);
    void dequeue(Queue::iterator position);
    std::vector<Admission> admit_queued();

    const int max_running_;
    const Duration queue_timeout_;
    std::map<std::string, ServerState> servers_;
    std::map<RpcNumber, std::string> running_;  // the server at which each runs
    Queue queue_;
    std::map<RpcNumber, std::uint64_t> arrivals_;  // the arrival numbers of queued RPCs
    std::uint64_t next_arrival_ = 0;
};

}  // namespace micaroad::routing
