#include "wire_collectors.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace micaroad::scale::wire {
namespace {

constexpr Milliseconds kRedialDelay{200};

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

    // Returns false if the planner has left too many bytes unread.
    bool report(const Channel::Text& text, std::int64_t messages) {
        if (!open()) {
            return true;
        }
        if (channel_->queued() > kMaxQueuedBytes) {
            return false;
        }
        send(text, messages);
        return true;
    }

 private:
    void connected() override {
        send(std::make_shared<const std::string>(
                 fmt::format("agent az={}\r\n", World::zone_name(zone_))),
             1);
    }
    void received(std::string_view bytes) override {  // a planner sends nothing to a collector
        of(fleet_.traffic_[static_cast<std::size_t>(planner_)], Role::collector).bytes_out +=
            static_cast<std::int64_t>(bytes.size());
    }
    void ended() override { dial_later(); }

    void dial_later() {
        fleet_.loop_.at(Clock::now() + kRedialDelay, Role::collector, [this] { dial(); });
    }

    void send(Channel::Text text, std::int64_t messages) {
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
    // The reports of the zones are spread over the report interval.
    for (int zone = 0; zone < zones; ++zone) {
        const auto first_report = Clock::now() + (zone + 1) * world.sizes().report_interval / zones;
        loop_.at(first_report, Role::collector, [this, zone] { start_reports(zone); });
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

void CollectorFleet::start_reports(int zone) {
    report(zone);
    loop_.every(world_.sizes().report_interval, Role::collector, [this, zone] { report(zone); });
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
