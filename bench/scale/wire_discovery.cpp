#include "wire_discovery.hpp"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <utility>

namespace micaroad::scale::wire {
namespace {

constexpr std::string_view kListTarget = "/catalog/members";
constexpr std::string_view kWatchTarget = "/catalog/members?stream=1&index=";
constexpr std::string_view kWatchHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kNotFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

std::string chunk_of(std::string_view line) {
    return fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line);
}

std::string response_of(std::string_view body) {
    return fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        body.size(), body);
}

// The target of "GET target HTTP/1.1"; empty if the line is not such a request.
std::string_view target_of(std::string_view line) {
    if (!line.starts_with("GET ")) {
        return {};
    }
    line.remove_prefix(4);
    return line.substr(0, line.find(' '));
}

std::optional<std::int64_t> index_of(std::string_view target) {
    if (!target.starts_with(kWatchTarget)) {
        return std::nullopt;
    }
    target.remove_prefix(kWatchTarget.size());
    std::int64_t index = 0;
    const auto [end, error] = std::from_chars(target.data(), target.data() + target.size(), index);
    if (error != std::errc{} || end != target.data() + target.size()) {
        return std::nullopt;
    }
    return index;
}

}  // namespace

class DiscoveryAgents::Connection : public ChannelOwner {
 public:
    Connection(DiscoveryAgents& agents, int planner, Descriptor socket)
        : agents_(agents),
          planner_(planner),
          channel_(std::make_unique<Channel>(agents.loop_, Role::discovery, std::move(socket),
                                             false, *this)) {}

    ~Connection() override { wire::drop(agents_.loop_, channel_); }

    bool watching() const { return version_ >= 0; }
    bool idle_for(Milliseconds time) const { return Clock::now() - last_write_ >= time; }

    void publish() {
        if (version_ >= agents_.world_.version()) {
            return;
        }
        write(agents_.changes_after(version_));
        version_ = agents_.world_.version();
        agents_.record_announced(planner_);
    }
    void send_heartbeat() { write(std::make_shared<const std::string>(chunk_of(""))); }

 private:
    void received(std::string_view bytes) override {
        traffic().bytes_out += static_cast<std::int64_t>(bytes.size());
        lines_.feed(bytes, [this](std::string_view line) {
            if (!line.empty()) {
                if (target_.empty()) {
                    target_ = target_of(line);
                }
                return;
            }
            ++traffic().messages_out;
            respond(std::exchange(target_, {}));
        });
    }
    void ended() override { agents_.drop(*this); }

    void respond(std::string_view target) {
        if (target == kListTarget) {
            write(std::make_shared<const std::string>(response_of(agents_.world_.complete_list())));
            agents_.record_announced(planner_);
            return;
        }
        const auto index = index_of(target);
        if (!index) {
            return write(std::make_shared<const std::string>(kNotFound));
        }
        write(std::make_shared<const std::string>(kWatchHead));
        --traffic().messages_in;  // the response head does not count as a message
        if (*index < 1 || *index > agents_.world_.version()) {
            write(std::make_shared<const std::string>(chunk_of(agents_.world_.complete_list())));
            version_ = agents_.world_.version();
            return agents_.record_announced(planner_);
        }
        version_ = *index;
        publish();
    }

    void write(Channel::Text text) {
        traffic().bytes_in += static_cast<std::int64_t>(text->size());
        ++traffic().messages_in;
        last_write_ = Clock::now();
        channel_->send(std::move(text));
    }

    Traffic& traffic() {
        return of(agents_.traffic_[static_cast<std::size_t>(planner_)], Role::discovery);
    }

    DiscoveryAgents& agents_;
    const int planner_;
    std::unique_ptr<Channel> channel_;
    LineSplitter lines_;
    std::string target_;
    std::int64_t version_ = -1;  // last version sent to the watch; negative if this is no watch
    TimePoint last_write_ = Clock::now();
};

DiscoveryAgents::DiscoveryAgents(Loop& loop, const World& world,
                                 std::vector<LoopbackAddress>& addresses,
                                 std::vector<TrafficByRole>& traffic, AnnouncedCallback announced)
    : loop_(loop),
      world_(world),
      addresses_(addresses),
      traffic_(traffic),
      on_announced_(std::move(announced)),
      announced_versions_(addresses.size(), world.version()) {
    loop_.every(kHeartbeatCheckInterval, Role::discovery, [this] { send_heartbeat(); });
}

DiscoveryAgents::~DiscoveryAgents() = default;

void DiscoveryAgents::open() {
    for (std::size_t planner = 0; planner < addresses_.size(); ++planner) {
        const auto accept_one = [this, planner](Descriptor socket) {
            accept(static_cast<int>(planner), std::move(socket));
        };
        listeners_.push_back(std::make_unique<Listener>(
            loop_, Role::discovery, listen_at(addresses_[planner]), accept_one));
    }
}

void DiscoveryAgents::stop() {
    listeners_.clear();
    connections_.clear();
}

void DiscoveryAgents::publish() {
    for (const auto& [key, connection] : connections_) {
        if (connection->watching()) {
            connection->publish();
        }
    }
}

std::size_t DiscoveryAgents::watches() const {
    std::size_t number = 0;
    for (const auto& [key, connection] : connections_) {
        number += connection->watching() ? 1 : 0;
    }
    return number;
}

void DiscoveryAgents::accept(int planner, Descriptor socket) {
    auto connection = std::make_unique<Connection>(*this, planner, std::move(socket));
    connections_[connection.get()] = std::move(connection);
}

// Called from the connection's own ended(), so the connection is destroyed later, by a timer.
void DiscoveryAgents::drop(const Connection& connection) {
    loop_.at(Clock::now(), Role::discovery, [this, key = &connection] { connections_.erase(key); });
}

void DiscoveryAgents::send_heartbeat() {
    for (const auto& [key, connection] : connections_) {
        if (connection->watching() && connection->idle_for(kHeartbeatInterval)) {
            connection->send_heartbeat();
        }
    }
}

Channel::Text DiscoveryAgents::changes_after(std::int64_t version) {
    if (cached_chunk_ == nullptr || cached_after_ != version || cached_up_to_ != world_.version()) {
        cached_after_ = version;
        cached_up_to_ = world_.version();
        cached_chunk_ =
            std::make_shared<const std::string>(chunk_of(world_.changes_since(version)));
    }
    return cached_chunk_;
}

void DiscoveryAgents::record_announced(int planner) {
    std::int64_t& announced = announced_versions_[static_cast<std::size_t>(planner)];
    if (announced >= world_.version()) {
        return;
    }
    const std::int64_t before = std::exchange(announced, world_.version());
    on_announced_(planner, before, announced);
}

}  // namespace micaroad::scale::wire
