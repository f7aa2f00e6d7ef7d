#include "wire_proxies.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace micaroad::scale::wire {
namespace {

constexpr Milliseconds kMinRedialDelay{100}, kMaxRedialDelay{1'000};
constexpr double kAcknowledgementLagMs = 1.0;
constexpr std::string_view kNonceField = " nonce_out=";
constexpr std::string_view kContinuedField = " continued=1";

// Parses only the fields needed for a proxy whose table is not tracked.
std::optional<PushPart> parse_frame(std::string_view line) {
    if (!line.starts_with("push")) {
        return std::nullopt;
    }
    PushPart part;
    part.continued = line.find(kContinuedField) != std::string_view::npos;
    const std::size_t nonce = line.find(kNonceField);
    if (nonce == std::string_view::npos) {
        return part;
    }
    const char* const begin = line.data() + nonce + kNonceField.size();
    int value = 0;
    if (std::from_chars(begin, line.data() + line.size(), value).ec != std::errc{}) {
        return std::nullopt;
    }
    part.nonce = value;
    return part;
}

}  // namespace

class ProxyFleet::Proxy : public ChannelOwner {
 public:
    Proxy(ProxyFleet& fleet, const ProxyIdentity& identity, bool tracked)
        : fleet_(fleet), identity_(identity), tracked_(tracked) {}

    const ProxyIdentity& identity() const { return identity_; }
    bool joined() const { return channel_ != nullptr && channel_->open(); }
    bool has_first_message() const { return joined() && first_message_time_ > dial_time_; }
    double first_message_ms() const {
        return std::chrono::duration<double, std::milli>(first_message_time_ - dial_time_).count();
    }
    const ProxyTable& table() const { return table_; }

    void dial() {
        drop(fleet_.loop_, channel_);
        parts_.clear();
        lines_.clear();
        dial_time_ = Clock::now();
        Descriptor socket =
            begin_connect(fleet_.planners_[static_cast<std::size_t>(identity_.planner)]);
        if (!socket.open()) {
            return dial_later();
        }
        channel_ =
            std::make_unique<Channel>(fleet_.loop_, Role::proxy, std::move(socket), true, *this);
    }

    void report() {
        if (!joined()) {
            return;
        }
        send(fleet_.world_.demand(identity_), fleet_.world_.sizes().methods);
    }

 private:
    void connected() override {
        redial_delay_ = kMinRedialDelay;
        send(fmt::format("hello sidecar={} az={} share={:.1f} standing={}\r\n", identity_.number,
                         World::zone_name(identity_.zone), identity_.requests_per_second,
                         ever_had_message_ ? 0 : 1),
             1);
    }

    void received(std::string_view bytes) override {
        traffic().bytes_out += static_cast<std::int64_t>(bytes.size());
        lines_.feed(bytes, [this](std::string_view line) { handle_line(line); });
    }

    void ended() override {
        ++fleet_.broken_;
        dial_later();
    }

    void handle_line(std::string_view line) {
        if (!joined()) {
            return;  // an earlier line reset the stream
        }
        auto part = tracked_ ? parse_push(line, fleet_.world_) : parse_frame(line);
        if (!part) {
            ++fleet_.unreadable_;
            channel_->close();
            return dial_later();
        }
        const bool complete = !part->continued;
        parts_.push_back(std::move(*part));
        if (complete) {
            apply();
        }
    }

    void apply() {
        const TimePoint now = Clock::now();
        if (first_message_time_ <= dial_time_) {
            first_message_time_ = now;
        }
        ever_had_message_ = true;
        ++traffic().messages_out;
        for (const PushPart& part : parts_) {
            if (tracked_) {
                table_.apply(part);
            }
            if (part.nonce) {
                acknowledge(*part.nonce);
            }
        }
        parts_.clear();
        if (tracked_) {
            record_in_force(now);
        }
    }

    void acknowledge(int nonce) {
        ++traffic().nonces_out;
        send(fmt::format("ack sidecar={} version={} lag_ms={:.1f}\r\n", identity_.number, nonce,
                         kAcknowledgementLagMs),
             1);
    }

    void record_in_force(TimePoint now) {
        const auto* awaited = fleet_.in_force_.awaited(identity_.number);
        if (awaited == nullptr) {
            return;
        }
        std::vector<std::size_t> closed;
        for (const auto& [server, announced] : *awaited) {
            if (!table_.in_use(server)) {
                closed.push_back(server);
            }
        }
        for (const std::size_t server : closed) {
            fleet_.in_force_.closed(identity_.number, server, now);
        }
    }

    void send(std::string text, int messages) {
        traffic().bytes_in += static_cast<std::int64_t>(text.size());
        traffic().messages_in += messages;
        channel_->send(std::move(text));
    }

    void dial_later() {
        fleet_.loop_.at(Clock::now() + redial_delay_, Role::proxy, [this] {
            if (!joined()) {
                dial();
            }
        });
        redial_delay_ = std::min(2 * redial_delay_, kMaxRedialDelay);
    }

    Traffic& traffic() {
        return of(fleet_.traffic_[static_cast<std::size_t>(identity_.planner)], Role::proxy);
    }

    ProxyFleet& fleet_;
    const ProxyIdentity& identity_;
    const bool tracked_;
    std::unique_ptr<Channel> channel_;
    LineSplitter lines_;
    std::vector<PushPart> parts_;
    ProxyTable table_;
    TimePoint dial_time_{}, first_message_time_{};
    bool ever_had_message_ = false;
    Milliseconds redial_delay_ = kMinRedialDelay;
};

ProxyFleet::ProxyFleet(Loop& loop, const World& world, const std::vector<LoopbackAddress>& planners,
                       int real_planners, std::vector<TrafficByRole>& traffic, InForce& in_force)
    : loop_(loop), world_(world), planners_(planners), traffic_(traffic), in_force_(in_force) {
    for (const ProxyIdentity& identity : world.proxies()) {
        proxies_.push_back(
            std::make_unique<Proxy>(*this, identity, identity.planner < real_planners));
    }
    loop_.every(world.sizes().report_interval / kReportSlots, Role::proxy, [this] {
        report(next_slot_);
        next_slot_ = (next_slot_ + 1) % kReportSlots;
    });
}

ProxyFleet::~ProxyFleet() = default;

template <class Task>
void ProxyFleet::for_each_proxy(int planner, const Task& task) const {
    const auto per_planner = static_cast<std::size_t>(world_.sizes().proxies);
    const std::size_t first = per_planner * static_cast<std::size_t>(planner);
    for (std::size_t i = first; i < first + per_planner; ++i) {
        task(*proxies_[i]);
    }
}

void ProxyFleet::dial_all() {
    for (const auto& proxy : proxies_) {
        proxy->dial();
    }
}

void ProxyFleet::redial(int planner) {
    for_each_proxy(planner, [](Proxy& proxy) { proxy.dial(); });
}

void ProxyFleet::report(int slot) {
    for (std::size_t i = static_cast<std::size_t>(slot); i < proxies_.size(); i += kReportSlots) {
        proxies_[i]->report();
    }
}

void ProxyFleet::announced(int planner, const std::vector<std::size_t>& ended, TimePoint now) {
    for_each_proxy(planner, [&](const Proxy& proxy) {
        for (const std::size_t server : ended) {
            in_force_.announced(proxy.identity().number, server, now, proxy.table().in_use(server));
        }
    });
}

std::vector<double> ProxyFleet::first_message_times(int planner) const {
    std::vector<double> times;
    for_each_proxy(planner, [&times](const Proxy& proxy) {
        if (proxy.has_first_message()) {
            times.push_back(proxy.first_message_ms());
        }
    });
    std::sort(times.begin(), times.end());
    return times;
}

int ProxyFleet::joined(int planner) const {
    int number = 0;
    for_each_proxy(planner, [&number](const Proxy& proxy) { number += proxy.joined() ? 1 : 0; });
    return number;
}

int ProxyFleet::with_first_message(int planner) const {
    int number = 0;
    for_each_proxy(planner,
                   [&number](const Proxy& proxy) { number += proxy.has_first_message() ? 1 : 0; });
    return number;
}

double ProxyFleet::mean_table_size(int planner) const {
    double sum = 0;
    int number = 0;
    for_each_proxy(planner, [&](const Proxy& proxy) {
        sum += static_cast<double>(proxy.table().servers_in_use());
        ++number;
    });
    return number > 0 ? sum / number : 0;
}

}  // namespace micaroad::scale::wire
