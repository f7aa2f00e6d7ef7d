/// Weights of servers by bounded gradient steps on a predicted cost.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/numeric.hpp"
#include "decision/pool_membership.hpp"
#include "decision/queue_model.hpp"
#include "decision/update_scheduler.hpp"

namespace micaroad::decision {

struct WeightOptimizer {
    using Shares = std::vector<RealVector>;  // by pool that has servers, each a row of its own

    DecisionContext& context;
    UpdateScheduler& scheduler;
    Mailbox<EndpointStatus, Tick, DemandEstimate, OptimizerStep> mailbox{};
    PoolMemberships held{context.settings};
    bool changed = false;
    DemandEstimate demand{};
    // Seconds; RPCs a second from all proxies, and by size; sizes of all open servers, not long
    // ago.
    double limit = 0, total = 0, usual = 0, size_most = 0;

    WeightOptimizer(DecisionContext& context, UpdateScheduler& scheduler)
        : context(context), scheduler(scheduler) {
        for (const WeighedPool& pool : held.pools) {
            scheduler.mailbox.post(pool.binding);
        }
    }

    void on(const EndpointStatus& message) {
        auto [member, added] = held.member(message.entry.server);
        // The first servers are taken on trust: a planner that starts over has nobody else.
        if (added) {
            member.trusted = usual == 0, held.queue(member);
        }
        const bool doubted = !member.trusted && !message.last_ok && message.tries > 0;
        changed |= added || doubted != member.doubted || message.open != member.seen.open ||
                   message.entry.last_start != member.seen.entry.last_start;
        // Steps leave the mean of the weights as it is, so a server may enter at its listed weight.
        held.update(member, message, doubted, std::log(message.entry.size));
    }

    void on(const Tick&) {
        if (std::exchange(changed, false)) {
            publish();
        }
    }
    void on(const DemandEstimate& message) {
        demand = message;
        for (WeighedPool& pool : held.pools) {
            const double rate = sum_of(message.rates, pool.binding.methods);
            if (rate > 0) {
                pool.part = rate / message.rates.sum();
            }
        }
    }

    void on(const OptimizerStep&) {
        // Zones that none of our proxies reaches are left out: nothing of ours shows there or moves
        // there.
        const std::vector<PoolMember*> all = held.open(), open = in_tried_zones(all, kTried);
        RealVector rate, answer;
        if (!weigh_evidence(open, rate, answer)) {
            return publish();
        }
        const double ours = rate.sum(), reached = zone_count(open) / zone_count(all);
        // Proxies that are not ours are taken to load the servers as ours do, those of all zones
        // alike.
        rate *= std::max(1.0, demand.all_over_ours * reached), total = ours * demand.all_over_ours;
        // What a server surely can do. Neither tries of who comes again count, nor what is sent to
        // those that are left when others go: these are forgotten by a tenth a step.
        size_most =
            std::max(size_most * 0.9, row_of(all, [](auto& m) { return m.seen.entry.size; }).sum());
        usual = std::max(std::min(total, demand.announced) / size_most, usual * 0.9);
        const RealVector capacity = rate + 1.0 / answer;
        std::vector<PoolRows> pools;
        held.number(all, open);
        for (const std::size_t k : held.peopled()) {
            if (PoolRows rows = rows_of(k, true); !rows.places.empty()) {
                pools.push_back(std::move(rows));
            }
        }
        const auto part = [&](const PoolRows& pool) { return held.pools[pool.pool].part; };
        const auto ahead = [&](const Shares& to, const TailPenalty& tail) {
            RealVector at = rate;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                add_moves(pools[k], to[k], ours * part(pools[k]), at);
            }
            at[at < 0.0] = 0;
            return predict_queues(at, capacity, tail);
        };
        const Shares stay = all_shares(pools, 0, {});
        // The factor stops at the limit: past it the model is so stiff that a larger one allows no
        // step.
        const double lateness = std::min(ahead(stay, {0, 1, kClamp}).p95 / limit, 1.0);
        const TailPenalty tail{5 * std::exp(10 * (lateness - 1)), limit, kClamp};
        const QueuePrediction here = ahead(stay, tail);
        Shares downhill = stay;  // how far the weights go in a whole step
        const double scale = kStepScale * std::ssize(open) / std::max(here.cost, 1e-9) * ours;
        for (std::size_t k = 0; k < pools.size(); ++k) {
            const RealVector gradient = row_at(pools[k].index, here.gradient);
            downhill[k] *= scale * part(pools[k]) * (gradient - (stay[k] * gradient).sum());
        }
        const auto room = [&](double c) {
            const Shares share = all_shares(pools, c, downhill);
            double sum = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                sum += moved(stay[k], share[k]);
            }
            return kMostMove - std::sqrt(sum);
        };
        const auto cost = [&](double c) {
            return ahead(all_shares(pools, c, downhill), tail).cost;
        };
        double c = room(1) >= 0 ? 1 : crossing(0, 1, 0, room);
        // A step within the bound can still overshoot what the model says is best along it: halved
        // until not.
        double best = cost(c);
        for (double half; c > 1e-3 && (half = cost(c / 2)) < best; c /= 2) {
            best = half;
        }
        const auto least = [](const PoolMember& m) { return std::log(m.seen.entry.size) + kLeast; };
        if (here.cost - best > kLeastGain * here.cost) {
            held.move(open, pools, c, downhill, least);
        }
        publish();
    }

 private:
    static constexpr double kMostMove = 0.15, kClamp = 0.95, kTried = 1;  // the design's; one try
    // The design's are 0.5 (here of the cost's logarithm a server, whatever size and traffic) and a
    // tenth.
    static constexpr double kStepScale = 0.2, kLeastGain = 0.01;
    static constexpr double kLeast =
        -3;  // a twentieth: what is never tried can't show that it recovered
    // RPCs that weigh as much as the kind's mean: answers vary four- to fivefold more than servers
    // of a kind.
    static constexpr double kDoubt = 20, kDoubtBad = 10;  // failures are few where nothing is wrong
    // Of a listed share: many must not cost much, one must be tried. More comes by chance once a
    // day.
    static constexpr double kTrial = 0.1, kDeviations = 4;

    // Mechanism 1. Guards against a server that fails fast (looks idle), hangs or can't be reached:
    // a failed try is an answer at twice the tail's limit. It could harm where few RPCs come: hence
    // the doubts.
    bool weigh_evidence(const std::vector<PoolMember*>& open, RealVector& rate,
                        RealVector& answer) {
        const RealVector tries = row_of(open, [](const PoolMember& m) { return m.seen.tries; });
        const RealVector bad = row_of(open, [](const PoolMember& m) { return m.seen.bad; });
        const RealVector answers =
            row_of(open, [](const PoolMember& m) { return m.seen.answer_seconds; });
        const RealVector ok = tries - bad;
        if (open.empty() || held.pools.empty() || ok.sum() <= 0) {
            return false;
        }
        const double mean = answers.sum() / ok.sum();
        if (limit == 0) {
            limit = std::max(shortest_soft_deadline(context.settings), 2 * mean);
        }
        const RealVector usual_here =
            (kind_sums(open, answers) + kDoubt * mean) / (kind_sums(open, ok) + kDoubt);
        const RealVector failing =
            (bad + kDoubtBad * bad.sum() / tries.sum()) / (tries + kDoubtBad);
        answer = 2.0 * limit * failing +
                 (1.0 - failing) * (answers + kDoubt * usual_here) / (ok + kDoubt);
        rate = tries / row_of(open, [](const PoolMember& m) { return m.seen.window; }).max();
        return true;
    }

    double warmth(const PoolMember& member) const {  // by age, 1: warm
        const auto& start = member.seen.entry.last_start;
        return start ? seconds(context.now - *start) / seconds(context.settings.warm_up_duration)
                     : 1;
    }

    // Mechanism 2. Guards against pushing over a cold server: it gets what it can do at least by
    // its age (the design: a quarter), four deviations under the limit from all, and nothing in its
    // first quarter (half if no load is known). It costs capacity. One whose tries all failed so
    // far is on trial.
    double ceiling(const PoolMember& member, double listed) const {
        const DeploymentSettings& t = context.settings;
        const double most = member.doubted ? kTrial * listed : 1;
        const double age = warmth(member);
        if (age >= 1 || age < (usual == 0 ? 0.5 : 0.25)) {
            return age >= 1 ? most : 0;
        }
        const double able = t.cold_capacity_fraction + (1 - t.cold_capacity_fraction) * age;
        if (usual == 0) {
            return std::min(most, able * listed);
        }
        // RPCs within the span that pushes it over: x + kDeviations sqrt(x) is to stay under its
        // limit.
        const double warm = usual * member.seen.entry.size * seconds(t.overload_window),
                     half = kDeviations / 2;
        const double root = std::sqrt(half * half + t.overload_factor * able * warm) - half;
        return std::min(most,
                        std::min(able * warm, root * root) / (total * seconds(t.overload_window)));
    }

    PoolRows rows_of(std::size_t pool, bool numbered) {  // numbered: those of the step only
        const auto most = [this](const PoolMember& member, double listed) {
            return ceiling(member, listed);
        };
        return held.rows_of(pool, numbered, most);
    }
    // After a part of a step.
    Shares all_shares(const std::vector<PoolRows>& pools, double c, const Shares& downhill) const {
        Shares all(pools.size());
        for (std::size_t k = 0; k < pools.size(); ++k) {
            const RealVector& weight = pools[k].weight;
            all[k] = capped_softmax(
                pools[k], downhill.empty() ? weight : RealVector(weight - c * downhill[k]));
        }
        return all;
    }

    // Tells of what changed since the last time: shares of pools that were touched or hold who is
    // not warm yet, as ceilings rise by age.
    void publish() {
        if (held.pools.empty()) {
            return;
        }
        const bool any_cold = held.age([this](const PoolMember& member) { return warmth(member); });
        for (const std::size_t k : held.take_touched()) {
            const PoolRows rows = rows_of(k, false);
            held.publish(rows, capped_softmax(rows, rows.weight));
        }
        const WeightsPublished done{any_cold, !held.empty()};
        for (PoolMember* const member : held.take_queued()) {
            member->cold = warmth(*member) < 1;
            scheduler.mailbox.post(held.take_wish(*member));
        }
        scheduler.mailbox.post(done);
    }
};

}  // namespace micaroad::decision
