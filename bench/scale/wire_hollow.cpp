#include "wire_hollow.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "protocol/endpoint_list.hpp"
#include "protocol/http.hpp"
#include "wire_world.hpp"

namespace micaroad::scale::wire {
namespace {

constexpr Milliseconds kRedialDiscovery{100};
constexpr int kMostNonces = 65'536;                     // nonces are below it
constexpr std::size_t kMostUnread = 128 * 1024;         // a stream that leaves more unread is reset
constexpr std::size_t kLongestMessage = 256 * 1024;     // bytes
constexpr std::size_t kLongestList = 16 * 1024 * 1024;  // bytes, as EndpointListParser counts them
constexpr double kMostCredit = 10'000;                  // messages that a planner may be behind
constexpr std::string_view kAlive = "alive\r\n";

SymbolTable names_of_world(const WireWorld& sizes) {
    SymbolTable names;
    for (int method = 0; method < sizes.methods; ++method) {
        names.methods.push_back(World::method_name(method));
    }
    for (int zone = 0; zone < sizes.zones; ++zone) {
        names.zones.push_back(World::zone_name(zone));
    }
    return names;
}

// Follows discovery's list as a planner does.
class ListWatch : public ChannelOwner {
 public:
    ListWatch(Loop& loop, const LoopbackAddress& discovery, const WireWorld& sizes)
        : loop_(loop), discovery_(discovery), names_(names_of_world(sizes)) {
        dial();
    }

    std::int64_t version() const { return version_; }
    const std::set<std::string>& listed() const { return listed_; }

 private:
    void dial() {
        drop(loop_, channel_);
        http_ = {};
        lists_.emplace(names_, protocol::EndpointListFraming::line, kLongestList);
        Descriptor socket = begin_connect(discovery_);
        if (!socket.open()) {
            return dial_later();
        }
        channel_ = std::make_unique<Channel>(loop_, Role::planner, std::move(socket), true, *this);
    }
    void dial_later() {
        loop_.at(Clock::now() + kRedialDiscovery, Role::planner, [this] { dial(); });
    }

    void connected() override {
        const std::string target = fmt::format("/catalog/members?stream=1&index={}", version_);
        channel_->send(protocol::http_get(discovery_.text(), target));
    }
    void received(std::string_view bytes) override {
        http_.feed(bytes, [this](std::string_view body) {
            lists_->feed(body, [this](const std::optional<protocol::EndpointListMessage>& said) {
                take(said);
            });
        });
    }
    void ended() override { dial_later(); }

    void take(const std::optional<protocol::EndpointListMessage>& said) {
        if (!said) {
            return;  // an empty line: a heartbeat
        }
        if (said->list.form == event::EndpointListUpdate::Form::complete) {
            listed_.clear();
        }
        for (const ListedEndpoint& server : said->list.servers) {
            if (server.phase == EndpointPhase::gone) {
                listed_.erase(server.server.value);
            } else {
                listed_.insert(server.server.value);
            }
        }
        version_ = said->version;
    }

    Loop& loop_;
    const LoopbackAddress discovery_;
    SymbolTable names_;
    protocol::HttpReader http_;
    std::optional<protocol::EndpointListParser> lists_;  // of the body of this connection
    std::unique_ptr<Channel> channel_;
    std::int64_t version_ = 0;  // 0: the whole list is asked for
    std::set<std::string> listed_;
};

class Planner {
 public:
    Planner(Loop& loop, HollowPlanner given, const WireWorld& sizes)
        : loop_(loop),
          watch_(loop, given.discovery, sizes),
          listener_(loop, Role::planner, std::move(given.listener),
                    [this](Descriptor socket) { take(std::move(socket)); }) {}

    void write(const Pace& pace);
    void add_to(HollowStatus& status) const;

 private:
    class Peer;

    void take(Descriptor socket);
    void drop(const Peer& peer);
    void joined(int proxy, Peer& peer);
    void write_one(Peer& peer);
    std::string message_of(std::size_t bytes, bool with_nonce);

    Loop& loop_;
    ListWatch watch_;
    std::map<const Peer*, std::unique_ptr<Peer>> peers_;
    std::map<int, Peer*> streams_;  // by the proxy's number
    Pace credit_;                   // what is yet to be written
    int next_proxy_ = 0;            // whose turn it is
    std::string next_server_;
    int next_nonce_ = 0;
    std::int64_t messages_written_ = 0;
    Listener listener_;  // last: it hands over to all of the above
};

// A connection that was taken: a proxy's stream, a collector, or one that has not said yet.
class Planner::Peer : public ChannelOwner {
 public:
    Peer(Planner& planner, Descriptor socket)
        : planner_(planner),
          channel_(std::make_unique<Channel>(planner.loop_, Role::planner, std::move(socket), false,
                                             *this)) {}
    ~Peer() override { wire::drop(planner_.loop_, channel_); }

    int proxy() const { return proxy_; }
    std::int64_t nonces_open() const { return static_cast<std::int64_t>(nonces_.size()); }
    bool unread() const { return channel_->queued() > kMostUnread; }
    void write(std::string text) { channel_->send(std::move(text)); }
    void await(int nonce) { nonces_.insert(nonce); }

 private:
    void received(std::string_view bytes) override {
        lines_.feed(bytes, [this](std::string_view line) { take(line); });
    }
    void ended() override { planner_.drop(*this); }

    // Reports count for nothing here; what names the peer or answers a nonce does.
    void take(std::string_view line) {
        int proxy = -1, nonce = -1;
        if (line == "probe") {
            return channel_->send(std::string(kAlive));
        }
        const std::string text(line.substr(0, 100));
        if (std::sscanf(text.c_str(), "hello sidecar=%d", &proxy) == 1) {
            proxy_ = proxy;
            planner_.joined(proxy, *this);
        } else if (std::sscanf(text.c_str(), "ack sidecar=%d version=%d", &proxy, &nonce) == 2) {
            nonces_.erase(nonce);
        }
    }

    Planner& planner_;
    std::unique_ptr<Channel> channel_;
    LineSplitter lines_;
    int proxy_ = -1;
    std::set<int> nonces_;
};

void Planner::take(Descriptor socket) {
    auto peer = std::make_unique<Peer>(*this, std::move(socket));
    peers_[peer.get()] = std::move(peer);
}

void Planner::drop(const Peer& peer) {
    const auto stream = streams_.find(peer.proxy());
    if (stream != streams_.end() && stream->second == &peer) {
        streams_.erase(stream);
    }
    loop_.at(Clock::now(), Role::planner, [this, key = &peer] { peers_.erase(key); });
}

// A new stream of the same proxy may come before the old one is seen to end.
void Planner::joined(int proxy, Peer& peer) {
    streams_[proxy] = &peer;
}

// The proxies have their turns one after the other, so that each gets its part over time.
void Planner::write(const Pace& pace) {
    credit_.messages = std::min(credit_.messages + pace.messages, kMostCredit);
    credit_.bytes += pace.bytes;
    credit_.nonces += pace.nonces;
    while (credit_.messages >= 1 && !streams_.empty()) {
        auto turn = streams_.lower_bound(next_proxy_);
        if (turn == streams_.end()) {
            turn = streams_.begin();
        }
        next_proxy_ = turn->first + 1;
        write_one(*turn->second);
    }
}

void Planner::write_one(Peer& peer) {
    const double mean = std::max(credit_.bytes / credit_.messages, 0.0);
    const bool with_nonce = credit_.nonces >= 1;
    const std::string message =
        message_of(std::min(static_cast<std::size_t>(mean), kLongestMessage), with_nonce);
    credit_.messages -= 1;
    credit_.bytes -= static_cast<double>(message.size());
    if (peer.unread()) {
        return;  // a real planner would reset it: the run sees that it gets less
    }
    if (with_nonce) {
        credit_.nonces -= 1;
        peer.await(next_nonce_);
        next_nonce_ = (next_nonce_ + 1) % kMostNonces;
    }
    peer.write(message);
    ++messages_written_;
}

// Lines on servers of the list, of just that length where the words allow it: the last weight is
// written out longer.
std::string Planner::message_of(std::size_t bytes, bool with_nonce) {
    const std::string tail = (with_nonce ? fmt::format(" nonce_out={}", next_nonce_) : "") + "\r\n";
    std::string message = "push endpoints=";
    const auto& listed = watch_.listed();
    if (listed.empty()) {
        return "push" + tail;
    }
    for (bool first = true;; first = false) {
        auto server = listed.lower_bound(next_server_);
        if (server == listed.end()) {
            server = listed.begin();
        }
        const std::string line = (first ? "" : ",") + *server + ":1";
        if (!first && message.size() + line.size() + tail.size() > bytes) {
            break;
        }
        message += line;
        next_server_ = *server + '!';
    }
    const std::size_t length = message.size() + tail.size();
    if (length + 2 <= bytes) {
        message += '.' + std::string(bytes - length - 1, '0');
    }
    return message + tail;
}

void Planner::add_to(HollowStatus& status) const {
    status.streams += static_cast<std::int64_t>(streams_.size());
    status.messages_written += messages_written_;
    for (const auto& [proxy, peer] : streams_) {
        status.nonces_open += peer->nonces_open();
    }
    status.listed = std::min(status.listed, static_cast<std::int64_t>(watch_.listed().size()));
    status.version = std::min(status.version, watch_.version());
}

// The end of the control line ends the process.
class Control : public ChannelOwner {
 public:
    Control(Loop& loop, Descriptor socket, std::vector<std::unique_ptr<Planner>>& planners)
        : planners_(planners), channel_(loop, Role::planner, std::move(socket), false, *this) {}
    bool over() const { return over_; }

 private:
    void received(std::string_view bytes) override {
        lines_.feed(bytes, [this](std::string_view line) {
            const auto pace = read_pace(line);
            if (!pace) {
                return;
            }
            for (const auto& planner : planners_) {
                planner->write(*pace);
            }
            channel_.send(line_of(status()));
        });
    }
    void ended() override { over_ = true; }

    HollowStatus status() const {
        HollowStatus status;
        status.listed = status.version = std::numeric_limits<std::int64_t>::max();
        for (const auto& planner : planners_) {
            planner->add_to(status);
        }
        return status;
    }

    std::vector<std::unique_ptr<Planner>>& planners_;
    LineSplitter lines_;
    bool over_ = false;
    Channel channel_;
};

}  // namespace

std::string line_of(const Pace& pace) {
    return fmt::format("pace {:.6f} {:.6f} {:.6f}\n", pace.messages, pace.bytes, pace.nonces);
}

std::optional<Pace> read_pace(std::string_view line) {
    Pace pace;
    const std::string text(line);
    const int read =
        std::sscanf(text.c_str(), "pace %lf %lf %lf", &pace.messages, &pace.bytes, &pace.nonces);
    return read == 3 ? std::optional{pace} : std::nullopt;
}

std::string line_of(const HollowStatus& status) {
    return fmt::format("status {} {} {} {} {}\n", status.streams, status.messages_written,
                       status.nonces_open, status.listed, status.version);
}

std::optional<HollowStatus> read_status(std::string_view line) {
    long streams = 0, written = 0, nonces = 0, listed = 0, version = 0;
    const std::string text(line);
    const int read = std::sscanf(text.c_str(), "status %ld %ld %ld %ld %ld", &streams, &written,
                                 &nonces, &listed, &version);
    return read == 5 ? std::optional{HollowStatus{streams, written, nonces, listed, version}}
                     : std::nullopt;
}

int serve_hollow(std::vector<HollowPlanner> given, Descriptor control, const WireWorld& sizes) {
    Loop loop;
    std::vector<std::unique_ptr<Planner>> planners;
    for (HollowPlanner& planner : given) {
        planners.push_back(std::make_unique<Planner>(loop, std::move(planner), sizes));
    }
    const Control ear(loop, std::move(control), planners);
    loop.run([&ear] { return ear.over(); }, TimePoint::max() - std::chrono::hours(1));
    return 0;
}

}  // namespace micaroad::scale::wire
