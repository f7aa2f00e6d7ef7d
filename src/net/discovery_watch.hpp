/// Follows discovery's endpoint list.
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

/// Timeouts and pauses of a DiscoveryWatch.
struct WatchTimeouts {
    /// Longest time without a received byte; discovery sends something every 2 s.
    std::chrono::milliseconds idle{2'600};
    /// Longest time between two lines, plus one second for each kMinListBytesPerSecond bytes of an
    /// unfinished list, as a large list takes longer to transfer.
    std::chrono::milliseconds line{5'000};
    std::chrono::milliseconds connect{400};
    /// Pause between two connections; it doubles from initial_backoff up to max_backoff.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{500};
    /// Pause after a list over the limit, as the next one is likely to be as long; below the 6 s
    /// within which a change must take effect.
    std::chrono::milliseconds oversized_list_backoff{5'000};
    /// Minimum time between two fetches of the complete list, which limits the load on a discovery
    /// service whose versions never match.
    std::chrono::milliseconds fetch_interval{500};
    static constexpr std::size_t kMinListBytesPerSecond = 512 * 1024;
};

/// Follows discovery's endpoint list over one connection and puts each received list into the
/// inbox. Reconnects with a growing pause when the connection breaks or times out. Fetches the
/// complete list on request. When given another address, it connects to that at once but keeps the
/// old connection until the new one has sent its first line; the new source then supersedes the old
/// one.
///
/// Threads: start() is called once; any thread may call fetch(), follow(), begin_stop() and stop().
/// Each source has its own thread. The watch owns these threads and the sockets.
///
/// Bounds: kMaxSources sources at a time, one read buffer per source, and lists of at most
/// `max_list_bytes` as protocol::EndpointListParser counts them. A list that is over the limit or
/// malformed is ignored, and the previous list is kept.
///
/// stop() shuts the sockets down, interrupts pauses and waits for the threads.
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
/// A source that is superseded, or whose watch stops, leaves any phase at once. A requested fetch
/// leads from `following` to `connecting` at once.
class DiscoveryWatch {
 public:
    /// `version` is the version of the list that the planner already has. `pool` and `inbox` must
    /// outlive the watch.
    DiscoveryWatch(std::string host, Address address, SymbolTable names, std::int64_t version,
                   std::size_t max_list_bytes, protocol::BufferPool& pool, Inbox& inbox, Log& log,
                   WatchTimeouts timeouts = {}, SyncPoints* sync = nullptr);
    ~DiscoveryWatch();
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

    /// Returns false if no thread can be started.
    [[nodiscard]] bool start();
    /// Interrupts all connections and pauses without waiting for the threads.
    void begin_stop();
    /// begin_stop(), then waits for the threads.
    void stop();
    /// Requests the complete list, until it has been received or kMaxFetches requests in a row have
    /// failed.
    void fetch();
    /// Follows another address; does nothing if `host` is the same as in the last call.
    void follow(std::string host, Address address);

 private:
    /// An address to follow. Each source has a higher generation than the one before, and
    /// supersedes all earlier ones once it has sent a line.
    struct Source {
        std::string host;
        Address address;
        int generation = 0;
    };
    enum class RequestKind {
        watch,  ///< changes since a version, in a response that does not end
        fetch,  ///< the complete list
    };
    struct Request {
        RequestKind kind;
        std::string target;
    };
    /// State of a source's thread that is kept from one connection to the next.
    struct RetryState {
        std::chrono::milliseconds backoff;
        bool loss_logged = false;  // since a line was last received
        int failed_fetches = 0;    // in a row
    };
    struct Response;

    /// The current source, the newest one, and one that is ending. A source that is given while all
    /// three have a thread is taken over by the first thread whose source must stop.
    static constexpr int kMaxSources = 3;
    /// After this many failed fetches in a row, the watch resumes from version 0.
    static constexpr int kMaxFetches = 3;

    void run(Source source);
    [[nodiscard]] RetryState initial_retry_state() const { return {timeouts_.initial_backoff}; }
    void on_connection_ended(const Source& source, RequestKind kind, const WatchEnd& end,
                             RetryState& retry);
    [[nodiscard]] std::optional<Request> next_request(Source& source, int failed_fetches);
    [[nodiscard]] bool must_stop(int generation) const;    // requires mutex_
    [[nodiscard]] bool wants_fetch(int generation) const;  // requires mutex_
    [[nodiscard]] bool is_interrupted(const Source& source, RequestKind under_way);
    void interrupt_superseded();  // requires mutex_
    void report_loss(const Source& source, const WatchEnd& end);
    [[nodiscard]] WatchEnd connect_and_read(const Source& source, const Request& request);
    [[nodiscard]] WatchEnd read_response(const Source& source, RequestKind kind,
                                         const Socket& socket);
    [[nodiscard]] std::optional<WatchEnd> handle_bytes(const Source& source, Response& response,
                                                       std::string_view bytes);
    [[nodiscard]] std::chrono::milliseconds line_timeout(std::size_t list_size) const;
    [[nodiscard]] bool make_current(const Source& source);  // requires mutex_
    // Requires mutex_.
    [[nodiscard]] bool accept_line(const Source& source,
                                   std::optional<protocol::EndpointListMessage> message);
    void pause(int generation, std::chrono::milliseconds time);

    const WatchTimeouts timeouts_;
    const std::size_t max_list_bytes_;
    protocol::BufferPool& pool_;
    Inbox& inbox_;
    Log& log_;
    SyncPoints* const sync_;

    // Guards the members from here to the threads. Held while lists are parsed, as that adds names
    // to names_, and while they are put into the inbox, so that no list of a superseded source
    // follows the first list of a later one.
    std::mutex mutex_;
    std::condition_variable interrupted_;
    SymbolTable names_;  // the deployment's names and those added by lists
    Source newest_source_;
    int current_generation_ = 0;  // latest source that has sent a line
    int started_generation_ = 0;  // latest source that has had a thread
    int running_sources_ = 0;     // threads that may still make requests
    std::int64_t version_;        // version of the list that the planner has
    bool fetch_wanted_ = false;
    bool stopping_ = false;
    std::map<int, const Socket*> sockets_;  // open connections by generation

    // Last member: its threads use all those above. A thread that makes no more requests may not
    // have ended yet, hence twice as many threads as sources.
    ThreadGroup threads_{2 * kMaxSources};
};

}  // namespace micaroad::net
