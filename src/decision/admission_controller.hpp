/// Admitted fractions of RPCs while the whole fleet is late.
#pragma once

#include <map>

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/numeric.hpp"
#include "decision/update_scheduler.hpp"
#include "decision/weight_optimizer.hpp"

namespace micaroad::decision {

// Mechanism 3. Guards against a fleet that is late as a whole: when the median try is later than a
// part of the soft deadline, less is let in than it bears, until answers are early. Failures
// between zones that nothing comes back from don't count. It could harm where load isn't why: hence
// the floor.
struct AdmissionController {
    DecisionContext& context;
    WeightOptimizer& optimizer;
    UpdateScheduler& scheduler;
    Mailbox<event::ProxyJoined, event::ProxyLeft, event::DemandReport, ZonedLoadReport,
            EvidenceWindowClosed, Tick>
        mailbox{};
    RealVector came = RealVector(context.settings.methods.size()),
               level = RealVector(1.0, came.size());  // came: older RPCs fade
    // Parts of base, what came for each RPC told of when last all were let in (whole): who is
    // refused comes again. Bearable: once queues are short again. Told is summed over time, as what
    // comes is.
    double told = 0, telling = 0, window = 0, tries = 0, base = 1, let_in = 1, bearable = 1,
           last = kLost;
    bool whole = true;
    int beats = 0;
    std::map<ProxyId, double> joined{};
    TimePoint next_cut{}, last_look{}, summed{};
    std::vector<std::pair<double, double>>
        met{};  // answer times and their weights, since the last look
    std::map<std::pair<ZoneId, ZoneId>, std::pair<double, double>>
        ways{};  // ok and bad, by both zones

    void on(const event::ProxyJoined& n) {
        on(event::ProxyLeft{n.proxy}),
            telling += joined[n.proxy] = std::max(n.rpcs_per_second, 1e-3);
    }
    void on(const event::ProxyLeft& n) {
        sum_up(), telling -= joined[n.proxy], joined.erase(n.proxy);
    }
    void sum_up() { told += telling * seconds(context.now - std::exchange(summed, context.now)); }
    void on(const event::DemandReport& message) { came[message.method.value] += message.requests; }
    void on(const ZonedLoadReport& message) {
        auto& [ok, bad] = ways[{message.report.proxy_zone, message.server_zone}];
        ok += message.report.attempts - message.report.failures, bad += message.report.failures,
            tries += message.report.attempts;
        met.emplace_back(seconds(message.report.mean_latency),
                         message.report.attempts - message.report.failures);
    }

    void on(const EvidenceWindowClosed&) {
        sum_up(), ++beats, window += seconds(context.step);
        const double all = telling * std::max(1.0, context.settings.proxy_count /
                                                       std::max(1.0, 1.0 * joined.size()));
        const double heard =
            std::max(told / window, telling / 4);  // four times more would be guessed
        optimizer.mailbox.post(DemandEstimate{came * level, std::max(1.0, all / heard), all});
        optimizer.mailbox.post(
            OptimizerStep{});  // behind what the servers have told it of this beat
        told *= kMemory, window *= kMemory, came *= kMemory;
    }

    void on(const Tick&) {
        if (context.now < last_look + std::max(kLookEvery, context.settings.report_interval) ||
            tries < kEnough) {
            return;
        }
        const bool ok =
            std::any_of(ways.begin(), ways.end(), [](auto& way) { return way.second.first > 0; });
        for (auto [_, n] : ways) {
            if (!ok || n.first > 0 || n.second < kCut) {
                met.emplace_back(kLost, n.second);
            }
        }
        const double answer = middle(std::exchange(met, {}));
        // What is heard is two looks old, and queues grow on meanwhile.
        const double ahead =
            std::clamp(3 * answer - 2 * std::exchange(last, answer), answer, 1.5 * answer);
        ways.clear(), tries = 0;
        if (whole) {
            base = std::max(rate(), beats < 2 ? 1.0 : 0.0);  // less is heard at first than came
        }
        if (ahead > aim && context.now >= next_cut) {
            bearable = std::max(bearable * kBackOff, 2 * kLeastLetIn);
            let_in = std::max(bearable * std::max(aim / ahead, 0.5), kLeastLetIn), whole = false;
            const Duration on_the_way{
                static_cast<Duration::rep>(3 * aim / seconds(Duration{1}))};  // heard late
            next_cut = context.now +
                       2 * (context.settings.max_message_delay + context.settings.report_interval) +
                       on_the_way;
        } else if (answer < 0.75 * aim) {
            bearable *= 1 + kGrowth * (1 - answer / aim) * seconds(context.now - last_look);
            let_in = std::min(bearable, let_in * 1.5);
        }
        last_look = context.now, share_out();
    }
    static constexpr Duration kLookEvery = std::chrono::seconds(1);  // a fleet jams within a few
    static constexpr double kEnough = 20, kLost = 3600;  // tries for a median; seconds: no answer
    static constexpr double kCut =
        8;  // bad ones alone: by chance in 1 of 256 looks, where a half is bad
    // A second, of what the answers leave; a mean so late puts a quarter of exponential answers
    // past it.
    static constexpr double kGrowth = 0.2, kAim = 0.7, kLeastLetIn = 0.15, kBackOff = 0.85;
    const double aim = kAim * shortest_soft_deadline(context.settings);

    double rate() { return sum_up(), came.sum() / std::max(told, 1e-9); }
    void share_out() {  // least criticality first
        if (context.settings.admission_kind != AdmissionKind::fraction) {
            return;  // no other level goes out: all are let in
        }
        std::multimap<double, std::size_t> order;
        if (whole |= let_in * base >= rate()) {
            let_in = bearable = 1, base = rate();
        }
        double spare = (1 - let_in * base / std::max(rate(), 1e-9)) * came.sum();
        for (std::size_t m = 0; m < came.size(); ++m) {
            order.emplace(context.settings.methods[m].criticality, m);
        }
        for (const auto& [criticality, m] : order) {
            const double cut = std::min(spare, came[m]);
            level[m] = came[m] > 0 ? 1 - cut / came[m] : 1, spare -= cut;
        }
        scheduler.mailbox.post(AdmissionFractions{level});
    }
};

}  // namespace micaroad::decision
