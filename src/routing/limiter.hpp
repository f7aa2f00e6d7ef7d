// Who may run at a pool, who waits, who is turned away: connections at a server, at the pool,
// queues and their patience. One object a pool, fed events with their instants; it keeps no clock
// and names no RPC but by the caller's number.
//
// Guards against more work at a server than it bears and queues without end. It should refuse at
// once what can't run in time: an RPC's answer is final when it is turned away. It could harm where
// limits are under what servers bear: they are the operator's, and nothing here raises them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/plan.hpp"

namespace micaroad::routing {

using RpcNumber = Id<struct RpcNumberTag, std::uint64_t>;

class Limiter {
 public:
    explicit Limiter(const Pool& pool);  // copies what it needs

    enum class Verdict { runs, waits, turned_away };
    struct Answer {
        RpcNumber rpc;
        Verdict verdict = Verdict::turned_away;
        std::string server;
        TimePoint until{};  // waits: then it is turned away
    };

    // Wants to run at one server (its queue counts), or at any of the named ones in their order
    // (the pool's queue).
    Answer ask(RpcNumber rpc, const std::string& server, TimePoint now);
    Answer ask_any(RpcNumber rpc, const std::vector<std::string>& servers, TimePoint now);
    // One is done, or its client left; whoever may run now is named. Unknown numbers change
    // nothing.
    std::vector<Answer> done(RpcNumber rpc, TimePoint now);
    // A server takes nothing new: those that wait for it alone may run at any of the others
    // instead.
    std::vector<Answer> close(const std::string& server, const std::vector<std::string>& others,
                              TimePoint now);
    std::vector<Answer> open(const std::string& server);
    // Those whose patience is over, in the order of their coming.
    std::vector<Answer> expire(TimePoint now);
    std::optional<TimePoint> next_due() const;

    int running(const std::string& server) const;
    int running() const { return static_cast<int>(runs_.size()); }
    std::size_t waiting() const { return waits_.size(); }

 private:
    struct Limit {
        int most = 0, queue = 0;  // 0: none
        int running = 0, waiting = 0;
        bool closed = false;
    };
    struct Wait {
        std::vector<std::string> servers;  // in order of wish
        bool alone = false;                // it waits in that server's own queue
        TimePoint until{};
    };

    bool has_room(const std::string& server) const;
    bool pool_has_room() const { return most_ == 0 || running() < most_; }
    Answer run(RpcNumber rpc, const std::string& server);
    Answer wait(RpcNumber rpc, Wait wait);
    void leave_queue(std::map<std::uint64_t, std::pair<RpcNumber, Wait>>::iterator at);
    std::vector<Answer> admit();

    const int most_;
    const Duration patience_;
    std::map<std::string, Limit> limits_;
    std::map<RpcNumber, std::string> runs_;
    // By order of coming, which is also the order in which patience ends, as it is one for the
    // pool.
    std::map<std::uint64_t, std::pair<RpcNumber, Wait>> waits_;
    std::map<RpcNumber, std::uint64_t> places_;
    std::uint64_t next_ = 0;
};

}  // namespace micaroad::routing
