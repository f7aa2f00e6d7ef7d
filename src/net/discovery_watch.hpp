// Follows discovery's list on one connection, and opens it anew whenever it breaks or falls silent.
// Told another address it dials that at once, and holds on to the old one until the new one has
// spoken.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "log/log.hpp"
#include "net/socket.hpp"
#include "net/thread_group.hpp"
#include "planner/inbox.hpp"
#include "planner/sync_points.hpp"
#include "protocol/buffer_pool.hpp"
#include "protocol/endpoint_list.hpp"

namespace micaroad::net {

struct WatchPatience {
    // Something comes every 2 s. A list may take longer to come whole than its first byte:
    // `whole_line`, and a second more for each kSlowestList bytes of it.
    std::chrono::milliseconds silence{2'600}, whole_line{5'000}, connect{400};
    std::chrono::milliseconds first_wait{100}, longest_wait{500};
    // After a list over the bound, which is likely to come again as long; below the 6 s in which
    // news is due.
    std::chrono::milliseconds after_too_long{5'000};
    // Between two fetches of the whole list: a discovery whose versions never fit is asked no
    // faster.
    std::chrono::milliseconds between_fetches{500};
    static constexpr std::size_t kSlowestList = 512 * 1024;  // bytes a second
};

class DiscoveryWatch {
 public:
    using Patience = WatchPatience;
    // A list over `list_bytes`, as protocol::EndpointListParser counts them, is refused, and what
    // is held stands.
    DiscoveryWatch(std::string host, Address address, SymbolTable names, std::int64_t version,
                   std::size_t list_bytes, protocol::BufferPool& pool, Inbox& inbox, Log& log,
                   Patience patience = {}, SyncPoints* sync = nullptr);
    ~DiscoveryWatch();

    bool start();
    void stop();
    void begin_stop();  // all that is under way ends; stop() waits for it
    void fetch();       // the whole list, once more: asked for until it has come
    void follow(std::string host, Address address);

 private:
    // An address and its turn: of those that were followed, the later one holds once it has spoken.
    struct Source {
        std::string host;
        Address address;
        int turn = 0;
    };
    // The one that has spoken, the one told last, and one that is being left. What is told while
    // all have their thread is taken up by the first that ends.
    static constexpr int kMostSources = 3;
    // After so many fetches that came to nothing the list is watched again, from the first version
    // on.
    static constexpr int kFetchTries = 3;

    struct Asked {
        std::string target;
        bool whole = false;  // the list, not the watch
    };
    void watch_on(Source source);
    std::optional<Asked> next_question(Source& source,
                                       int failed);  // absent: this thread has nothing left to do
    bool over(int turn) const;                       // under the mutex: it is to end
    void leave_old();                                // under the mutex: wakes those that are over
    bool interrupted(const Source& source,
                     bool whole);  // something else is to be done than what is under way
    void lost(const Source& source, const std::string& why);
    // How a connection came to its end.
    struct Ended {
        std::string why;
        bool heard = false;  // something came of it, an empty line at least
        bool too_long = false;
    };
    Ended listen_to(const Source& source, const Asked& asked);
    Ended read_lists(const Source& source, const Asked& asked, const Socket& socket);
    std::chrono::milliseconds time_for(
        std::size_t list_size) const;  // to come whole, of as many bytes so far
    bool speaks(const Source&
                    source);  // under the mutex; false: a later one has, so this one counts no more
    // Under the mutex. Without a list: an empty line, a sign of life as good as any. False: as
    // speaks().
    bool take(const Source& source, std::optional<protocol::EndpointListMessage> said);
    bool pause(int turn, std::chrono::milliseconds time);  // false: it is to end

    const Patience patience_;
    const std::size_t list_bytes_;
    protocol::BufferPool& pool_;
    Inbox& inbox_;
    Log& log_;
    std::mutex mutex_;
    std::condition_variable wake_;
    SymbolTable names_;  // those the deployment told, and those that lists have added
    Source newest_;
    int spoken_ = 0;  // the latest turn that has
    std::int64_t version_;
    std::map<int, const Socket*> live_;  // by turn
    bool stopping_ = false, fetch_ = false;
    int running_ = 0,
        begun_ = 0;  // threads that look on; the latest turn that one of them has taken up
    SyncPoints* const sync_;
    ThreadGroup threads_{2 * kMostSources};  // some may have said that they end, and not have ended
};

}  // namespace micaroad::net
