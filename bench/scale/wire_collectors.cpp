#include "wire_collectors.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace micaroad::scale::wire {
namespace {

constexpr Milliseconds kRedial{200};

}  // namespace

class CollectorFleet::Collector : public ChannelOwner {
 public:
    Collector(CollectorFleet& fleet, int planner, int zone)
        : fleet_(fleet), planner_(planner), zone_(zone) {}

    int zone() const { return zone_; }
    bool open() const { return channel_ != nullptr && channel_->open(); }

    void dial() {
        drop(fleet_.loop_, channel_);
        Descriptor socket = begin_connect(fleet_.planners_[static_cast<std::size_t>(planner_)]);
        if (!socket.open()) {
            return dial_later();
        }
        channel_ = std::make_unique<Channel>(fleet_.loop_, Role::collector, std::move(socket), true,
                                             *this);
    }

    // False: the planner has left too much unread.
    bool report(const Channel::Text& text, std::int64_t messages) {
        if (!open()) {
            return true;
        }
        if (channel_->queued() > kMostQueued) {
            return false;
        }
        say(text, messages);
        return true;
    }

 private:
    void connected() override {
        say(std::make_shared<const std::string>(
                fmt::format("agent az={}\r\n", World::zone_name(zone_))),
            1);
    }
    void received(std::string_view bytes) override {  // nothing is ever written to a collector
        of(fleet_.traffic_[static_cast<std::size_t>(planner_)], Role::collector).bytes_out +=
            static_cast<std::int64_t>(bytes.size());
    }
    void ended() override { dial_later(); }

    void dial_later() {
        fleet_.loop_.at(Clock::now() + kRedial, Role::collector, [this] { dial(); });
    }

    void say(Channel::Text text, std::int64_t messages) {
        Traffic& traffic = of(fleet_.traffic_[static_cast<std::size_t>(planner_)], Role::collector);
        traffic.bytes_in += static_cast<std::int64_t>(text->size());
        traffic.messages_in += messages;
        channel_->send(std::move(text));
    }

    CollectorFleet& fleet_;
    const int planner_, zone_;
    std::unique_ptr<Channel> channel_;
};

CollectorFleet::CollectorFleet(Loop& loop, World& world,
                               const std::vector<LoopbackAddress>& planners,
                               std::vector<TrafficByRole>& traffic)
    : loop_(loop), world_(world), planners_(planners), traffic_(traffic) {
    const int zones = world.sizes().zones;
    for (int planner = 0; planner < static_cast<int>(planners.size()); ++planner) {
        for (int zone = 0; zone < zones; ++zone) {
            collectors_.push_back(std::make_unique<Collector>(*this, planner, zone));
        }
    }
    // Zones report one after the other.
    for (int zone = 0; zone < zones; ++zone) {
        const auto begin = Clock::now() + (zone + 1) * world.sizes().report_every / zones;
        loop_.at(begin, Role::collector, [this, zone] { report_every_period(zone); });
    }
}

CollectorFleet::~CollectorFleet() = default;

void CollectorFleet::dial_all() {
    for (const auto& collector : collectors_) {
        collector->dial();
    }
}

std::int64_t CollectorFleet::connected() const {
    return std::count_if(collectors_.begin(), collectors_.end(),
                         [](const auto& one) { return one->open(); });
}

void CollectorFleet::report_every_period(int zone) {
    report(zone);
    loop_.every(world_.sizes().report_every, Role::collector, [this, zone] { report(zone); });
}

void CollectorFleet::report(int zone) {
    const auto text = std::make_shared<const std::string>(world_.outcomes(zone));
    const std::int64_t messages = std::count(text->begin(), text->end(), '\n');
    for (const auto& collector : collectors_) {
        if (collector->zone() == zone && !collector->report(text, messages)) {
            ++dropped_;
        }
    }
}

}  // namespace micaroad::scale::wire
