/// The watch on discovery's endpoint list.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "log/log.hpp"
#include "net/socket.hpp"
#include "net/thread_group.hpp"
#include "net/watch_end.hpp"
#include "planner/inbox.hpp"
#include "planner/sync_points.hpp"
#include "protocol/buffer_pool.hpp"
#include "protocol/endpoint_list.hpp"

namespace micaroad::net {

/// Times that a DiscoveryWatch goes by.
struct WatchTimeouts {
    /// Without a byte: discovery sends something every 2 s.
    std::chrono::milliseconds idle{2'600};
    /// Between two lines, and a second more for each kMinListRate bytes of a list: it may take
    /// longer to come in full than its first byte.
    std::chrono::milliseconds line{5'000};
    std::chrono::milliseconds connect{400};
    /// Between two connections; the pause doubles from the first to the second.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{500};
    /// After a list over the bound, which is likely to come again as long; below the 6 s in which a
    /// change is due.
    std::chrono::milliseconds oversized_list_backoff{5'000};
    /// Between two fetches of the complete list, so that a discovery whose versions never fit is
    /// asked no faster.
    std::chrono::milliseconds fetch_interval{500};
    static constexpr std::size_t kMinListRate = 512 * 1024;  ///< bytes a second
};

/// Follows discovery's endpoint list on one connection, reconnects with a growing pause whenever it
/// breaks or falls silent, and puts what comes into the inbox. Fetches the complete list on demand.
/// Given another address it connects to that at once, and keeps the old connection until the new
/// one has sent its first line: the new source then supersedes the old one.
///
/// Threads: start() once; fetch(), follow(), begin_stop() and stop() by any. Each source has a
/// thread of its own that the watch owns, as it owns the sockets.
///
/// Bounds: kMaxSources sources at a time, lists of `max_list_bytes` as protocol::EndpointListParser
/// counts them, one read buffer a source. A list that is over the bound or malformed changes
/// nothing: the one that is held is kept.
///
/// It ends with stop(): sockets are shut down, pauses are broken off, threads are waited for.
///
/// A source's thread goes through these phases; all but `backoff` are the WatchPhase of a
/// connection:
///
///     connecting -- request sent --> requested -- first line --> following
///       ^    |                           |                           |
///       |    '---------------------------+---------------------------'
///       |                                |  end, fault, timeout
///       '----------- backoff <-----------'
///
/// From any of them it goes to its end once it is superseded or the watch stops, and from
/// `following` at once to `connecting` when the complete list is wanted.
class DiscoveryWatch {
 public:
    /// `version` is that of the list that is held already. `pool` and `inbox` outlive the watch.
    DiscoveryWatch(std::string host, Address address, SymbolTable names, std::int64_t version,
                   std::size_t max_list_bytes, protocol::BufferPool& pool, Inbox& inbox, Log& log,
                   WatchTimeouts timeouts = {}, SyncPoints* sync = nullptr);
    ~DiscoveryWatch();
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

    /// False if there is no thread for it.
    [[nodiscard]] bool start();
    /// Breaks off all that is under way, without waiting.
    void begin_stop();
    /// begin_stop(), then waits for the threads.
    void stop();
    /// Fetches the complete list once more; it is asked for until it has come, or kMaxFetches in a
    /// row came to nothing.
    void fetch();
    /// Follows another address; nothing happens if it has the host that was given last.
    void follow(std::string host, Address address);

 private:
    /// An address to follow. Generations count up; a source supersedes all earlier ones once it has
    /// sent a line.
    struct Source {
        std::string host;
        Address address;
        int generation = 0;
    };
    enum class RequestKind {
        watch,  ///< changes from a version on, in an answer without end
        fetch,  ///< the complete list
    };
    struct Request {
        RequestKind kind;
        std::string target;
    };
    /// What a source's thread remembers from one connection to the next.
    struct RetryState {
        std::chrono::milliseconds backoff;
        bool loss_logged = false;  // since it last received a line
        int failed_fetches = 0;    // in a row
    };
    struct Response;

    /// The current source, the one given last, and one that is being left. What is given while all
    /// have their thread is taken up by the first that ends.
    static constexpr int kMaxSources = 3;
    /// After so many fetches in a row that came to nothing the watch goes on, from version 0.
    static constexpr int kMaxFetches = 3;

    void run(Source source);
    [[nodiscard]] RetryState initial_retry_state() const { return {timeouts_.initial_backoff}; }
    void on_connection_ended(const Source& source, RequestKind kind, const WatchEnd& end,
                             RetryState& retry);
    [[nodiscard]] std::optional<Request> next_request(Source& source, int failed_fetches);
    [[nodiscard]] bool must_stop(int generation) const;    // under the mutex
    [[nodiscard]] bool wants_fetch(int generation) const;  // under the mutex
    [[nodiscard]] bool is_interrupted(const Source& source, RequestKind under_way);
    void interrupt_superseded();  // under the mutex
    void report_loss(const Source& source, const WatchEnd& end);
    [[nodiscard]] WatchEnd connect_and_read(const Source& source, const Request& request);
    [[nodiscard]] WatchEnd read_response(const Source& source, RequestKind kind,
                                         const Socket& socket);
    [[nodiscard]] std::optional<WatchEnd> handle_bytes(const Source& source, Response& response,
                                                       std::string_view bytes);
    [[nodiscard]] std::chrono::milliseconds line_timeout(std::size_t list_size) const;
    [[nodiscard]] bool make_current(const Source& source);  // under the mutex
    // Under the mutex.
    [[nodiscard]] bool accept_line(const Source& source,
                                   std::optional<protocol::EndpointListMessage> message);
    void pause(int generation, std::chrono::milliseconds time);

    const WatchTimeouts timeouts_;
    const std::size_t max_list_bytes_;
    protocol::BufferPool& pool_;
    Inbox& inbox_;
    Log& log_;
    SyncPoints* const sync_;

    // Guards what follows up to the threads. Held while lists are parsed, as names_ grows by them,
    // and while they go into the inbox: so nothing of a superseded source comes behind the first
    // list of a later one.
    std::mutex mutex_;
    std::condition_variable interrupted_;
    SymbolTable names_;  // those of the deployment, and those that lists have added
    Source newest_source_;
    int current_generation_ = 0;  // of the latest source that has sent a line
    int started_generation_ = 0;  // of the latest source that a thread has taken up
    int running_sources_ = 0;     // threads that still look for a request
    std::int64_t version_;        // of the list that is held
    bool fetch_wanted_ = false;
    bool stopping_ = false;
    std::map<int, const Socket*> sockets_;  // in use, by generation

    // Last: its threads use all of the above. Some may look for no request any more and not have
    // ended yet, so there is room for twice as many.
    ThreadGroup threads_{2 * kMaxSources};
};

}  // namespace micaroad::net
