// Rule 4 where all servers of a pool are cold: the planner against a model of proxies and servers
// that counts what each cold server is sent.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "helpers.hpp"
#include "micaroad/planner.hpp"

using namespace micaroad;

namespace {

constexpr int kZones = 3, kServersPerZone = 5, kProxies = 60;
constexpr double kRpcsPerSecond = 6.5;  // of each proxy, half of them of each method
constexpr double kLoad = 0.6;           // of all servers while none is lost
constexpr Duration kTurn{1'000}, kSecond{10'000}, kAcknowledgedAfter{4'000};

enum class LostServers { zone, kind };

DeploymentSettings settings_for(LostServers lost, AdmissionKind kind) {
    DeploymentSettings settings = test::sample_settings();
    settings.zone_count = kZones, settings.proxy_count = kProxies;
    settings.channel_lines_per_second = settings.max_pending_lines = 900;
    settings.warm_up_duration = 18 * kSecond, settings.cold_capacity_fraction = 0.17;
    settings.admission_kind = kind;
    if (lost == LostServers::zone) {
        settings.methods[1].own_zone_only = true;
    } else {
        settings.methods[1].only_kinds = {{1}};
    }
    return settings;
}

// Servers of one zone, or of one kind, are lost for 5 s and return cold. Counts RPCs as expected
// numbers, so nothing is left to chance.
class Deployment {
 public:
    Deployment(LostServers lost, AdmissionKind kind)
        : settings_(settings_for(lost, kind)), planner_(settings_, 7) {
        event::EndpointListUpdate list{event::EndpointListUpdate::Form::restored, {}};
        for (int zone = 0; zone < kZones; ++zone) {
            for (int i = 0; i < kServersPerZone; ++i) {
                const bool is_lost = lost == LostServers::zone ? zone == 0 : i == 0;
                ListedEndpoint server;
                server.server = {fmt::format("s{}{}", zone, i)};
                server.zone = {zone};
                server.kind = {lost == LostServers::kind && is_lost ? 1 : 0};
                list.servers.push_back(server);
                if (is_lost) {
                    lost_.push_back(server);
                }
            }
        }
        planner_.handle(list);
        turn();
        for (int p = 0; p < kProxies; ++p) {
            planner_.handle(event::ProxyJoined{{p}, {p % kZones}, kRpcsPerSecond, true});
            turn();
        }
        run(20 * kSecond);
    }

    void lose_servers() { list_lost(EndpointPhase::gone); }
    void return_servers() {
        for (ListedEndpoint& server : lost_) {
            server.last_start = now_;
            started_[server.server] = now_;
        }
        list_lost(EndpointPhase::ready);
    }

    void run(Duration duration) {
        for (const TimePoint end = now_ + duration; now_ < end;) {
            turn();
        }
    }

    // The most that a cold server was sent, as a fraction of its budget: no server fails up to 1.
    [[nodiscard]] double max_budget_used() const { return max_budget_used_; }
    // RPCs per second that the returned servers are sent now.
    [[nodiscard]] double rate_at_returned() const {
        double rate = 0;
        for (const auto& [server, started] : started_) {
            rate += rates_.contains(server) ? rates_.at(server) : 0;
        }
        return rate;
    }

 private:
    struct Table {
        std::map<ServerId, double> entries;
        std::map<MethodId, double> admissions;
    };

    void list_lost(EndpointPhase phase) {
        event::EndpointListUpdate list{event::EndpointListUpdate::Form::incremental, lost_};
        for (ListedEndpoint& server : list.servers) {
            server.phase = phase;
        }
        planner_.handle(list);
    }

    void turn() {
        now_ += kTurn;
        while (!acknowledgements_.empty() && acknowledgements_.begin()->first <= now_) {
            planner_.handle(acknowledgements_.begin()->second);
            acknowledgements_.erase(acknowledgements_.begin());
        }
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            planner_.handle(event::TimerExpired{timers_.begin()->second});
            timers_.erase(timers_.begin());
        }
        for (const Order& order : planner_.decide(now_)) {
            std::visit([this](const auto& any) { apply(any); }, order);
        }
        send_rpcs();
        check_cold_servers();
        if (now_.time_since_epoch() % settings_.report_interval == Duration{}) {
            report();
        }
    }

    void apply(const order::SetTableEntry& order) {
        if (order.weight > 0) {
            tables_[order.table].entries[order.server] = order.weight;
        } else {
            tables_[order.table].entries.erase(order.server);
        }
    }
    void apply(const order::ClearTable& order) { tables_.erase(order.table); }
    void apply(const order::BindProxy& order) {
        for (const MethodId method : order.methods) {
            bound_[{order.proxy, method}] = order.table;
        }
    }
    void apply(const order::SetAdmission& order) {
        for (const MethodId method : order.methods) {
            tables_[*order.table].admissions[method] = order.amount;
        }
    }
    void apply(const order::SetWithdrawn& order) {
        order.withdrawn ? (void)withdrawn_.insert(order.server)
                        : (void)withdrawn_.erase(order.server);
    }
    void apply(const order::SendNonce& order) {
        for (int p = 0; p < kProxies; ++p) {
            acknowledgements_.emplace(now_ + kAcknowledgedAfter,
                                      event::Acknowledgement{{p}, order.nonce});
        }
    }
    void apply(const order::StartTimer& order) { timers_.emplace(now_ + order.after, order.timer); }
    template <class Other>
    void apply(const Other&) {}

    // The admitted part of a method's rate at a proxy.
    [[nodiscard]] double admitted(const Table& table, MethodId method, double rate) const {
        const auto found = table.admissions.find(method);
        if (found == table.admissions.end() || settings_.admission_kind == AdmissionKind::none) {
            return rate;
        }
        return settings_.admission_kind == AdmissionKind::rate ? std::min(rate, found->second)
                                                               : rate * found->second;
    }

    void send_rpcs() {
        rates_.clear();
        by_zone_.clear();
        for (const auto& [key, table_id] : bound_) {
            const Table& table = tables_[table_id];
            double weights = 0;
            for (const auto& [server, weight] : table.entries) {
                weights += withdrawn_.contains(server) ? 0 : weight;
            }
            const double rate = admitted(table, key.second, kRpcsPerSecond / 2);
            for (const auto& [server, weight] : table.entries) {
                if (!withdrawn_.contains(server)) {
                    rates_[server] += rate * weight / weights;
                    by_zone_[{key.first.value % kZones, server}] += rate * weight / weights;
                }
            }
        }
    }

    // A cold server fails if it is sent more than overload_factor times its capacity for
    // overload_window.
    void check_cold_servers() {
        const double per_warm_server = kProxies * kRpcsPerSecond / (kZones * kServersPerZone);
        const double cold = settings_.cold_capacity_fraction;
        for (const auto& [server, started] : started_) {
            std::deque<double>& sent = sent_[server];
            sent.push_back(rates_.contains(server) ? rates_.at(server) : 0);
            if (sent.size() > static_cast<std::size_t>(settings_.overload_window / kTurn)) {
                sent.pop_front();
            }
            const double age =
                std::min(1.0, 1.0 * (now_ - started).count() / settings_.warm_up_duration.count());
            const double capacity = per_warm_server / kLoad * (cold + (1 - cold) * age);
            double sum = 0;
            for (const double rate : sent) {
                sum += rate;
            }
            const double turns = 1.0 * (settings_.overload_window / kTurn);
            max_budget_used_ =
                std::max(max_budget_used_, sum / (settings_.overload_factor * capacity * turns));
        }
    }

    void report() {
        const double seconds = 1.0 * settings_.report_interval.count() / kSecond.count();
        for (const auto& [key, rate] : by_zone_) {
            planner_.handle(event::EndpointLoadReport{key.second,
                                                      {key.first},
                                                      rate * seconds,
                                                      0,
                                                      Duration{2'000},
                                                      settings_.report_interval});
        }
        for (int p = 0; p < kProxies; ++p) {
            for (const int method : {0, 1}) {
                planner_.handle(event::DemandReport{
                    {p}, {method}, kRpcsPerSecond / 2 * seconds, 0, settings_.report_interval});
            }
        }
    }

    const DeploymentSettings settings_;
    Planner planner_;
    TimePoint now_ = TimePoint{} + 1'000 * kSecond;
    std::vector<ListedEndpoint> lost_;
    std::map<ServerId, TimePoint> started_;
    std::map<TableId, Table> tables_;
    std::map<std::pair<ProxyId, MethodId>, TableId> bound_;
    std::set<ServerId> withdrawn_;
    std::multimap<TimePoint, event::Acknowledgement> acknowledgements_;
    std::multimap<TimePoint, TimerId> timers_;
    std::map<ServerId, double> rates_;                    // RPCs per second now
    std::map<std::pair<int, ServerId>, double> by_zone_;  // the same, by zone of the proxies
    std::map<ServerId, std::deque<double>> sent_;         // rates within the overload window
    double max_budget_used_ = 0;
};

}  // namespace

// Guards against one cold server that gets the traffic of all (issue 56, review/8): servers that
// are alone in their pool return cold and are put into use one after the other.
TEST_CASE("servers that are alone in their pool are not overloaded when all return cold") {
    for (const LostServers lost : {LostServers::zone, LostServers::kind}) {
        for (const AdmissionKind kind :
             {AdmissionKind::fraction, AdmissionKind::rate, AdmissionKind::none}) {
            INFO("kind " << (lost == LostServers::kind) << ", admission "
                         << static_cast<int>(kind));
            Deployment deployment(lost, kind);
            deployment.lose_servers();
            deployment.run(5 * kSecond);
            deployment.return_servers();
            deployment.run(18 * kSecond);
            CHECK(deployment.max_budget_used() < 1);
            // Warm, they get all that is meant for them, which is more than a third of the RPCs of
            // the method that they alone serve.
            deployment.run(5 * kSecond);
            CHECK(deployment.max_budget_used() > 0);
            CHECK(deployment.rate_at_returned() > kProxies * kRpcsPerSecond / 2 / kZones);
        }
    }
}

// Cold servers serve as much as they can: they are no more useful withdrawn than overloaded.
TEST_CASE("a pool whose servers are all cold serves a part of its traffic") {
    Deployment deployment(LostServers::zone, AdmissionKind::fraction);
    deployment.lose_servers();
    deployment.run(5 * kSecond);
    CHECK(deployment.rate_at_returned() == 0);
    deployment.return_servers();
    deployment.run(4 * kSecond);
    CHECK(deployment.rate_at_returned() > 0);
}
