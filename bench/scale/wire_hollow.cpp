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

constexpr Milliseconds kRedialDelay{100};
constexpr int kNonceCount = 65'536;  // nonces are from 0 to kNonceCount - 1
constexpr std::size_t kMaxUnreadBytes =
    128 * 1024;  // a stream with more unread bytes gets no messages
constexpr std::size_t kMaxMessageBytes = 256 * 1024;     // bytes
constexpr std::size_t kMaxListBytes = 16 * 1024 * 1024;  // as counted by EndpointListParser
constexpr double kMaxCreditMessages = 10'000;  // messages that a planner may be behind its pace
constexpr std::string_view kAlive = "alive\r\n";

SymbolTable symbol_table(const WireWorld& sizes) {
    SymbolTable names;
    for (int method = 0; method < sizes.methods; ++method) {
        names.methods.push_back(World::method_name(method));
    }
    for (int zone = 0; zone < sizes.zones; ++zone) {
        names.zones.push_back(World::zone_name(zone));
    }
    return names;
}

// Watches discovery's list as a planner does.
class ListWatch : public ChannelOwner {
 public:
    ListWatch(Loop& loop, const LoopbackAddress& discovery, const WireWorld& sizes)
        : loop_(loop), discovery_(discovery), names_(symbol_table(sizes)) {
        dial();
    }

    std::int64_t version() const { return version_; }
    const std::set<std::string>& listed() const { return listed_; }

 private:
    void dial() {
        drop(loop_, channel_);
        http_ = {};
        lists_.emplace(names_, protocol::EndpointListFraming::line, kMaxListBytes);
        Descriptor socket = begin_connect(discovery_);
        if (!socket.open()) {
            return dial_later();
        }
        channel_ = std::make_unique<Channel>(loop_, Role::planner, std::move(socket), true, *this);
    }
    void dial_later() {
        loop_.at(Clock::now() + kRedialDelay, Role::planner, [this] { dial(); });
    }

    void connected() override {
        const std::string target = fmt::format("/catalog/members?stream=1&index={}", version_);
        channel_->send(protocol::http_get(discovery_.text(), target));
    }
    void received(std::string_view bytes) override {
        http_.feed(bytes, [this](std::string_view body) {
            lists_->feed(body, [this](const std::optional<protocol::EndpointListMessage>& update) {
                apply(update);
            });
        });
    }
    void ended() override { dial_later(); }

    void apply(const std::optional<protocol::EndpointListMessage>& update) {
        if (!update) {
            return;  // an empty line is a heartbeat
        }
        if (update->list.form == event::EndpointListUpdate::Form::complete) {
            listed_.clear();
        }
        for (const ListedEndpoint& server : update->list.servers) {
            if (server.phase == EndpointPhase::gone) {
                listed_.erase(server.server.value);
            } else {
                listed_.insert(server.server.value);
            }
        }
        version_ = update->version;
    }

    Loop& loop_;
    const LoopbackAddress discovery_;
    SymbolTable names_;
    protocol::HttpReader http_;
    std::optional<protocol::EndpointListParser> lists_;  // parser of the current connection's body
    std::unique_ptr<Channel> channel_;
    std::int64_t version_ = 0;  // 0 requests the complete list
    std::set<std::string> listed_;
};

class Planner {
 public:
    Planner(Loop& loop, HollowPlanner given, const WireWorld& sizes)
        : loop_(loop),
          watch_(loop, given.discovery, sizes),
          listener_(loop, Role::planner, std::move(given.listener),
                    [this](Descriptor socket) { accept(std::move(socket)); }) {}

    void write(const Pace& pace);
    void add_to(HollowStatus& status) const;

 private:
    class Peer;

    void accept(Descriptor socket);
    void drop(const Peer& peer);
    void joined(int proxy, Peer& peer);
    void write_message(Peer& peer);
    std::string message_of(std::size_t bytes, bool with_nonce);

    Loop& loop_;
    ListWatch watch_;
    std::map<const Peer*, std::unique_ptr<Peer>> peers_;
    std::map<int, Peer*> streams_;  // by proxy number
    Pace credit_;                   // not yet written
    int next_proxy_ = 0;            // lowest number that is written to next
    std::string next_server_;
    int next_nonce_ = 0;
    std::int64_t messages_written_ = 0;
    Listener listener_;  // declared last: its callback uses the members above
};

// An accepted connection: a proxy's stream, a collector, or one that has not identified itself yet.
class Planner::Peer : public ChannelOwner {
 public:
    Peer(Planner& planner, Descriptor socket)
        : planner_(planner),
          channel_(std::make_unique<Channel>(planner.loop_, Role::planner, std::move(socket), false,
                                             *this)) {}
    ~Peer() override { wire::drop(planner_.loop_, channel_); }

    int proxy() const { return proxy_; }
    std::int64_t unanswered_nonces() const { return static_cast<std::int64_t>(nonces_.size()); }
    bool is_stalled() const { return channel_->queued() > kMaxUnreadBytes; }
    void write(std::string text) { channel_->send(std::move(text)); }
    void await(int nonce) { nonces_.insert(nonce); }

 private:
    void received(std::string_view bytes) override {
        lines_.feed(bytes, [this](std::string_view line) { handle_line(line); });
    }
    void ended() override { planner_.drop(*this); }

    // Handles probes, joins and acknowledgements. Reports are ignored.
    void handle_line(std::string_view line) {
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

void Planner::accept(Descriptor socket) {
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

// Replaces an older stream of the same proxy, whose end may not have been noticed yet.
void Planner::joined(int proxy, Peer& peer) {
    streams_[proxy] = &peer;
}

// Writes to the proxies in rotation, so that each gets its share over time.
void Planner::write(const Pace& pace) {
    credit_.messages = std::min(credit_.messages + pace.messages, kMaxCreditMessages);
    credit_.bytes += pace.bytes;
    credit_.nonces += pace.nonces;
    while (credit_.messages >= 1 && !streams_.empty()) {
        auto next = streams_.lower_bound(next_proxy_);
        if (next == streams_.end()) {
            next = streams_.begin();
        }
        next_proxy_ = next->first + 1;
        write_message(*next->second);
    }
}

void Planner::write_message(Peer& peer) {
    const double mean = std::max(credit_.bytes / credit_.messages, 0.0);
    const bool with_nonce = credit_.nonces >= 1;
    const std::string message =
        message_of(std::min(static_cast<std::size_t>(mean), kMaxMessageBytes), with_nonce);
    credit_.messages -= 1;
    credit_.bytes -= static_cast<double>(message.size());
    if (peer.is_stalled()) {
        return;  // a real planner would reset the stream; here the run notices the missing message
    }
    if (with_nonce) {
        credit_.nonces -= 1;
        peer.await(next_nonce_);
        next_nonce_ = (next_nonce_ + 1) % kNonceCount;
    }
    peer.write(message);
    ++messages_written_;
}

// A push message with entries for servers of the list. It is padded to exactly `bytes`, by zeros
// after the last weight, unless it is within one byte of that or longer.
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
        status.unanswered_nonces += peer->unanswered_nonces();
    }
    status.listed = std::min(status.listed, static_cast<std::int64_t>(watch_.listed().size()));
    status.version = std::min(status.version, watch_.version());
}

// The control connection, on the side of the hollow planners. Its end makes the process exit.
class Control : public ChannelOwner {
 public:
    Control(Loop& loop, Descriptor socket, std::vector<std::unique_ptr<Planner>>& planners)
        : planners_(planners), channel_(loop, Role::planner, std::move(socket), false, *this) {}
    bool closed() const { return closed_; }

 private:
    void received(std::string_view bytes) override {
        lines_.feed(bytes, [this](std::string_view line) {
            const auto pace = parse_pace(line);
            if (!pace) {
                return;
            }
            for (const auto& planner : planners_) {
                planner->write(*pace);
            }
            channel_.send(line_of(status()));
        });
    }
    void ended() override { closed_ = true; }

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
    bool closed_ = false;
    Channel channel_;
};

}  // namespace

std::string line_of(const Pace& pace) {
    return fmt::format("pace {:.6f} {:.6f} {:.6f}\n", pace.messages, pace.bytes, pace.nonces);
}

std::optional<Pace> parse_pace(std::string_view line) {
    Pace pace;
    const std::string text(line);
    const int read =
        std::sscanf(text.c_str(), "pace %lf %lf %lf", &pace.messages, &pace.bytes, &pace.nonces);
    return read == 3 ? std::optional{pace} : std::nullopt;
}

std::string line_of(const HollowStatus& status) {
    return fmt::format("status {} {} {} {} {}\n", status.streams, status.messages_written,
                       status.unanswered_nonces, status.listed, status.version);
}

std::optional<HollowStatus> parse_status(std::string_view line) {
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
    const Control controller(loop, std::move(control), planners);
    loop.run([&controller] { return controller.closed(); },
             TimePoint::max() - std::chrono::hours(1));
    return 0;
}

}  // namespace micaroad::scale::wire
