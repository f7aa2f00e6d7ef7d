/// Concurrency limits of a pool: which RPCs may run, which wait in a queue, and which are rejected.
///
/// Guards against more work at a server than it can bear, and against queues without end: an RPC
/// that can't run in time is rejected at once, and the rejection is final. The risk is a limit that
/// is lower than what servers bear: limits are the operator's, and nothing here raises them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::routing {

/// The number of an RPC, which the caller chooses; unique among those that run or wait.
using RpcNumber = Id<struct RpcNumberTag, std::uint64_t>;

/// The limits of one pool: RPCs that run at once at a server and in the pool, and queues. It is
/// given events with their time and has no clock. For one thread at a time.
///
///     request() --> admitted -----------finish()-------------------> forgotten
///         |             ^                                                ^
///         |             | a place is free: told by finish(), close_server(), open_server()
///         |             |                                                |
///         +-------> queued ------finish() (the client left), expire()----+
///         |
///         +-------> rejected (the queue is full, the server takes nothing new)
class Limiter {
 public:
    enum class Outcome { admitted, queued, rejected };

    struct Admission {
        RpcNumber rpc;
        Outcome outcome = Outcome::rejected;
        std::string server;    ///< admitted: where it runs; otherwise without meaning
        TimePoint timeout_at;  ///< queued: when expire() rejects it
    };

    /// Copies what it needs of the pool.
    explicit Limiter(const Pool& pool);

    /// Asks to run at one server, with a place in that server's queue. Rejected if the server is
    /// unknown or closed, its queue is full, or the RPC runs or waits already.
    [[nodiscard]] Admission request(RpcNumber rpc, const std::string& server, TimePoint now);
    /// Asks to run at any of these servers, the first that has a place, with a place in the pool's
    /// queue. Rejected if there are none, or the RPC runs or waits already.
    [[nodiscard]] Admission request_any(RpcNumber rpc, const std::vector<std::string>& servers,
                                        TimePoint now);

    /// An RPC has ended, or its client has left. Gives those that are admitted in its place;
    /// nothing for an unknown number.
    std::vector<Admission> finish(RpcNumber rpc);

    /// A server takes nothing new. What waits in its queue may run at any of `others` instead;
    /// gives those that are admitted.
    std::vector<Admission> close_server(const std::string& server,
                                        const std::vector<std::string>& others);
    /// Undoes close_server(), and gives those that are admitted.
    std::vector<Admission> open_server(const std::string& server);

    /// Rejects those whose queue timeout is over, in the order of arrival.
    [[nodiscard]] std::vector<Admission> expire(TimePoint now);
    /// When expire() has something to reject next; absent while nobody waits.
    [[nodiscard]] std::optional<TimePoint> next_timeout() const;

    [[nodiscard]] int running(const std::string& server) const;
    [[nodiscard]] int running() const { return static_cast<int>(running_.size()); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

 private:
    struct ServerState {
        int max_running = 0;  // 0: no limit
        int max_queued = 0;   // 0: no limit
        int running = 0;
        int queued = 0;  // in its own queue
        bool closed = false;
    };
    struct QueuedRpc {
        RpcNumber rpc;
        std::vector<std::string> servers;  // in order of preference
        bool in_server_queue = false;      // of the first of them; otherwise in the pool's
        TimePoint timeout_at;
    };
    // By number of arrival, which is also the order of timeouts, as the pool has one for all.
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
    std::map<RpcNumber, std::string> running_;  // where each runs
    Queue queue_;
    std::map<RpcNumber, std::uint64_t> arrivals_;  // of those in the queue
    std::uint64_t next_arrival_ = 0;
};

}  // namespace micaroad::routing
