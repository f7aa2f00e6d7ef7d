/// What goes to the proxies, and when.
#pragma once

#include <deque>
#include <map>
#include <ranges>
#include <set>

#include "decision/decision_context.hpp"
#include "decision/mailbox.hpp"
#include "decision/messages.hpp"
#include "decision/numeric.hpp"
#include "decision/routing_tables.hpp"
#include "decision/send_window.hpp"

namespace micaroad::decision {

// Mechanism 5. Guards against proxies that go by what no longer holds and a channel choked by its
// own orders: what must stop goes first, as withdrawals; learnt changes keep to half the pace; who
// joins is bound in what room is left, busiest first. Answered marks tell what waits; where they
// get lost the told pace frees room.
struct UpdateScheduler {
    // Mechanism 4. Only on proof that the first never ran; none while a level is cut or a server
    // cold.
    static constexpr RetryPolicy kFurther = RetryPolicy::once_if_not_executed;
    DecisionContext& context;
    Mailbox<RenewSubscription, PoolBinding, AdmissionFractions, WeightsPublished, OwnershipTransfer,
            event::ProxyJoined, event::ProxyLeft, event::Acknowledgement, DesiredWeights,
            event::EndpointLoadReport, Tick>
        mailbox{};
    RoutingTables tables{};
    std::vector<Subset>& subsets = tables.subsets;
    std::map<ProxyId, BoundProxy>& bound = tables.bound;
    std::map<std::tuple<bool, double, ProxyId>, UnboundProxy> unbound{};  // in the order of binding
    std::deque<OwnershipTransfer> handovers{};
    int pressed = 0, pools_in_use = 0;  // withdrawals in the plan, the first due since oldest
    // A plan is to be made; shares were published since the last.
    bool stale = false, fresh = false, again = false, cold = false, braked = false,
         sent_never = false;
    RealVector wanted_levels = RealVector(1.0, context.settings.methods.size());
    // Where proxies do not try so by themselves, the first level tells them.
    RealVector sent_levels =
        RealVector(context.settings.default_retry_policy == kFurther ? 1.0 : 0.0,
                   context.settings.methods.size());
    const double head = context.settings.overhead_lines_per_message + 1;  // and a mark
    const double top = context.settings.admission_kind == AdmissionKind::rate
                           ? 1e6
                           : 1;  // lets all in: none gets so many
    SendWindow send_window{};    // charged with no fewer lines than are written
    double allowance = 0;
    int joinings = 0;  // lines that learnt changes may use; how many joined
    TimePoint counted{}, answered{}, next_pressing{}, next_learnt{}, oldest{};
    std::deque<ProxyId> few_bound{};  // to tables of their own, in order; some have left since
    bool levels_told = false;
    int owed = 0;  // withdrawals that each proxy which is not bound has to hear, at the last plan
    void on(const RenewSubscription&) { context.orders.push_back(order::Subscribe{}); }
    void on(const PoolBinding& message) { tables.pools.push_back({message}); }
    void on(const AdmissionFractions& message) { wanted_levels = message.amounts; }
    void on(const WeightsPublished& message) {
        cold = message.any_cold;
        if (message.any_server) {
            stale = fresh = true;
        }
    }
    void on(const OwnershipTransfer& message) { handovers.push_back(message); }
    void on(const event::ProxyJoined& message) {
        on(event::ProxyLeft{message.proxy}), again = true;
        unbound[{!message.initial_table_only, -message.rpcs_per_second, message.proxy}] = {
            message.zone, ++joinings};
    }
    void on(const event::ProxyLeft& message) {
        std::erase_if(unbound,
                      [&](auto& at) { return std::get<ProxyId>(at.first) == message.proxy; });
        clear_own_table(message.proxy), tables.release(message.proxy),
            send_window.on_proxy_left(message.proxy);
    }
    void on(const event::Acknowledgement& n) {
        if (send_window.on_acknowledgement(n.proxy, n.nonce)) {
            answered = context.now;
        }
    }
    void on(const DesiredWeights& message) {
        RoutingEntry& entry = tables.entry(message.server);
        tables.recount(entry, [&] { entry.shaky |= !message.steady; });
        tables.set_shares(entry, message.shares),
            tables.set_live(entry, !message.last, context.now);
        tables.set_cold(entry, message.cold), entry.zone = message.zone;
    }
    void on(const event::EndpointLoadReport& met) {
        const auto at = tables.servers.find(met.server);
        if (at == tables.servers.end()) {
            return;
        }
        at->second.ok = 1 - met.failures / met.attempts, stale |= cold;
        RoutingTables::put(tables.failing, at->second, at->second.ok < kJammed);
    }
    void on(const Tick&) {
        const double span = seconds(context.now - std::exchange(counted, context.now));
        const double pace = context.settings.channel_lines_per_second;
        if (send_window.pending() == 0) {
            answered = context.now;
        }
        const bool silent = context.now > answered + 4 * context.settings.max_message_delay;
        send_window.advance({pace * span, kSurePace * pace * span, silent});
        allowance = std::min(allowance + pace / 2 * span, pace * 2);
        if (stale || again) {
            make_plan();
        }
        if (subsets.size() > 1) {
            bind_joined(), bind_whole(), even_out();
        }
        // Withdrawals wait while proxies are bound that would otherwise have to be told each.
        const bool soon = subsets.size() > 1 && !unbound.empty();
        if (!soon || context.now >= oldest + context.settings.drain_grace / 4) {
            send_changes();
        }
        if (subsets.size() == 1) {
            bind_joined(), bind_whole();
        }
        if (const auto mark = send_window.next_nonce()) {
            context.orders.push_back(order::SendNonce{*mark, false});
        }
    }

    static constexpr double kSurePace = 0.6;  // of the told pace: what a channel surely sends
    // The design's: share changes over a tenth go out, a message counts so. A level bears on all
    // RPCs.
    static constexpr double kWorthSending = 0.1, kDesignHead = 6, kLevelWorthSending = 0.03;
    static constexpr int kForgotten = 8;       // steps after which no report comes
    static constexpr double kBeforeAll = 1e6;  // larger than any change of a share
    // Of the limit on waiting lines. Bindings leave half of it, learnt changes most of the grace
    // too.
    static constexpr double kLastRoom = 0.9, kOfGrace = 0.15, kJammed = 0.4;  // tries that are ok
    // Bindings of all take so much of the grace; so many tables a proxy, servers a subset. Loads
    // that differ by more than chance move proxies; one of another zone counts so much more.
    static constexpr double kBindGrace = 0.2, kTables = 0.4, kLeastSubset = 8, kUneven = 1.25,
                            kAway = 1.5;
    // What comes together shares a message; learnt changes save more heads than waiting costs them.
    static constexpr Duration kMerge = std::chrono::milliseconds(200),
                              kMergeLearnt = std::chrono::seconds(1);

    double room(int rank) const {  // below 0: bindings
        const double most = kLastRoom * context.settings.max_pending_lines;
        const double in_grace = kOfGrace * seconds(context.settings.drain_grace) *
                                context.settings.channel_lines_per_second;
        const double half =
            subsets.size() > 1 && rank < 0 ? std::min(most / 2, 2 * in_grace) : most / 2;
        return (rank == 0  ? most
                : rank < 0 ? half
                           : std::min(half, in_grace)) -
               send_window.pending();
    }

    // Mechanism 7. Guards against a channel that can't carry tables of all servers, nor each
    // withdrawal, to all proxies in time: servers are dealt out, a proxy holds one subset. It could
    // harm where few are left in one: proxies move on then.
    void deal_out(const std::set<std::size_t>& pools) {
        if (bound.empty() && tables.unsent.size() == tables.servers.size()) {
            double table = 0;
            for (const TablePool& pool : tables.pools) {
                for (const auto& [id, line] : pool.lines) {
                    table += line.wanted > 0;
                }
            }
            const double proxies =
                1.0 * std::max(1, context.settings.proxy_count) / context.settings.planner_count;
            const double in_time = kBindGrace * seconds(context.settings.drain_grace) *
                                   context.settings.channel_lines_per_second;
            const double most = in_time / proxies - head - 2.0 * sent_levels.size();
            const double fit =
                std::ceil(table / std::max(most, kLeastSubset * tables.pools.size()));
            const double parts =
                std::min(fit, kTables * proxies / std::max(1.0, 1.0 * tables.pools.size()));
            const double zones =
                context.settings.zone_count > 1 && parts >= context.settings.zone_count
                    ? context.settings.zone_count
                    : 1;
            const double number = std::max(1.0, std::ceil(parts / zones) * zones);
            tables.set_subsets(static_cast<std::size_t>(number), static_cast<int>(zones));
        }
        judge_subsets();
        if (subsets.size() == 1) {
            return;
        }
        tables.add_up(pools);
        std::vector<RoutingEntry*> dealt;  // once more in each plan, until a line of it is sent
        for (RoutingEntry* const entry : tables.unsent) {
            if (entry->wanted() > 0) {
                const auto like = [&](const Subset& s) {
                    double sum = 0;
                    for (const auto& [k, line] : entry->lines) {
                        sum += line->wanted > 0 ? s.dealt[k] : 0;
                    }
                    return std::pair(s.zone.value_or(entry->zone) != entry->zone, sum);
                };
                entry->subset = std::ranges::min_element(subsets, {}, like) - subsets.begin();
                tables.count_dealt(*entry, 1), dealt.push_back(entry);
            }
        }
        for (RoutingEntry* const entry : dealt) {
            tables.count_dealt(*entry, -1);
        }
    }
    void judge_subsets() {  // none is jammed where nobody fails
        for (Subset& subset : subsets) {
            subset.fit = 0;
        }
        if (tables.cold.empty() || tables.failing.empty()) {
            return;
        }
        for (const auto& [id, e] : tables.servers) {
            if (!e.cold && e.sent() > 0) {
                subsets[e.subset].fit += (e.ok - kJammed) * (fresh ? e.share() : e.wanted());
            }
        }
    }
    TableId table_of(std::size_t pool, std::size_t subset) const {
        return {binding(pool).table.value + static_cast<int>(subset * tables.pools.size())};
    }
    const PoolBinding& binding(std::size_t pool) const { return tables.pools[pool].binding; }
    bool meant_for(std::size_t pool, ZoneId zone) const {
        return binding(pool).zone.value_or(zone) == zone;
    }
    // RPCs of a subset's proxies, and of one more, for each part of the pool that it has least of.
    double load(std::size_t subset, ZoneId zone, double more) {
        const double least = tables.held_part(subset, zone);
        const bool away = subsets[subset].zone.value_or(zone) != zone;
        return (subsets[subset].rate + more) / std::max(least, 1e-9) * (away ? kAway : 1);
    }
    std::size_t lightest(ZoneId zone, double more) {
        const auto its = [&](std::size_t p) { return load(p, zone, more); };
        return std::ranges::min(std::views::iota(std::size_t{0}, subsets.size()), {}, its);
    }
    // One proxy after the other moves from the most loaded subset.
    void even_out() {
        if (!unbound.empty() || context.settings.max_messages_per_proxy > 0) {
            return;
        }
        for (double cost = 1; cost > 0; allowance -= cost) {
            const auto its = [&](std::size_t p) {
                return load(p, subsets[p].zone.value_or(ZoneId{}), 0);
            };
            const auto most =
                std::ranges::max(std::views::iota(std::size_t{0}, subsets.size()), {}, its);
            if (subsets[most].all.empty()) {
                return;
            }
            const ProxyId proxy = *subsets[most].all.begin();
            const auto [zone, rate, from, few] = bound.at(proxy);
            const std::size_t to = lightest(zone, rate);
            if (to == most || load(most, zone, 0) < kUneven * load(to, zone, rate)) {
                return;
            }
            cost = bind(proxy, zone, rate, to, std::min(room(1), allowance));
        }
    }

    void make_plan() {
        const TimePoint old = context.now - kForgotten * context.step;
        // Gone: nobody speaks of it any more. Its lines go first, or whoever is bound later would
        // get them.
        for (auto at = tables.departed.begin(); at != tables.departed.end() && at->first < old;) {
            RoutingEntry& entry = *(at++)->second;
            if (entry.out) {
                entry.sent() == 0 ? tables.forget(entry) : tables.queue(entry);
            }
        }
        std::set<std::size_t> pools = tables.take_touched(fresh);
        for (const std::size_t k : pools) {
            for (auto& [id, line] : tables.pools[k].lines) {
                if (fresh) {
                    line.wanted = line.share;
                }
            }
        }
        deal_out(pools);
        const std::set<std::size_t> jammed = shut_out_jammed();
        pools.insert(jammed.begin(), jammed.end());
        const bool none_before = pools_in_use == 0;
        for (const std::size_t k : pools) {
            scale(tables.pools[k], k);
        }
        tables.unsettled.insert(jammed.begin(), jammed.end());
        if (none_before != (pools_in_use == 0)) {
            tables.queue(tables.turning);
        }
        tables.queue(std::exchange(tables.repeated, {}));
        tables.drop_withdrawn(context.now - context.settings.drain_grace -
                              context.settings.max_message_delay);
        for (const auto& [left, entry] : tables.withdrawn) {
            if (again) {
                tables.queue(*entry);
            }
        }
        for (RoutingEntry* const entry : tables.take_queued()) {
            plan_for(*entry, old);
        }
        pressed = static_cast<int>(tables.leaving.size()), oldest = context.now;
        owed = pressed + static_cast<int>(tables.withdrawn.size());
        if (pressed > 0) {
            oldest = std::min(oldest, tables.leaving.begin()->first);
        }
        stale = again = fresh = false;
    }

    // Guards against a cold server alone among jammed ones: proxies shut these out by themselves,
    // and all that they have would come to it, however small its part. It costs capacity. The pools
    // that have one.
    std::set<std::size_t> shut_out_jammed() {
        std::set<std::size_t> pools;
        for (RoutingEntry* const entry : tables.cold) {
            if (subsets[entry->subset].fit < 0 && entry->wanted() > 0) {
                for (const auto& [k, line] : entry->lines) {
                    line->wanted = 0, pools.insert(k);
                }
                tables.jammed.insert(entry);
            }
        }
        return pools;
    }

    // Weights are relative: what a wave of withdrawals does to all others alike takes no line.
    void scale(TablePool& pool, std::size_t k) {
        double had = 0, meant = 0;  // of the servers that stay in use
        for (const auto& [id, line] : pool.lines) {
            if (!line.entry->out && line.sent * line.wanted > 0) {
                had += line.sent, meant += line.wanted;
            }
        }
        const double by = had > 0 ? had / meant : 1;
        for (auto& [id, line] : pool.lines) {
            line.wanted *= by, tables.queue(*line.entry);
        }
        pools_in_use += (had > 0) - (std::exchange(pool.had, had) > 0);
        by == 1 ? (void)tables.unsettled.erase(k) : (void)tables.unsettled.insert(k);
        fresh ? (void)tables.scaled.erase(k) : (void)tables.scaled.insert(k);
    }

    void plan_for(RoutingEntry& entry, TimePoint old) {
        const int newest = unbound.empty() ? 0 : joinings;  // of those that are not bound
        const double all = entry.wanted();
        const bool out = all == 0;
        const TimePoint told =
            entry.left + context.settings.drain_grace + context.settings.max_message_delay;
        const bool repeat =
            out && entry.out && again && context.now < told && entry.known_to < newest;
        const TimePoint due = !out                       ? TimePoint{}
                              : entry.due == TimePoint{} ? context.now
                                                         : entry.due;
        tables.set_leaving(entry, out && !entry.out, due);
        if (repeat) {
            tables.repeated.insert(&entry);
        }
        if (out != entry.out || repeat) {
            // The longest due first; then, for who has just joined, the latest; then who is back.
            const double since = seconds((repeat ? told : due).time_since_epoch());
            const double size = repeat ? 1e12 - since : out ? since : -kBeforeAll * (1 + all);
            return tables.plan_turn(entry, out || pools_in_use == 0 ? 0 : 1, size);
        }
        tables.drop_turn(entry);
        // Guards against lines that never find room and stay for good: at last before all learnt.
        const bool first = entry.out && !entry.live && entry.wished < old;
        const int rank = out && !first ? 2 : 1;
        for (const auto& [k, line] : entry.lines) {
            const double wanted = line->wanted, sent = line->sent, size = std::abs(wanted - sent);
            const PendingChange change{rank, first ? -kBeforeAll : -size, *entry.id,
                                       static_cast<int>(k)};
            size <= (wanted > 0 && sent > 0 ? kWorthSending * sent : 0)
                ? tables.drop(line->planned, *entry.id, static_cast<int>(k))
                : tables.plan_at(line->planned, change);
        }
        tables.drop_empty_lines(entry);
    }

    // Most lines that a change costs each bound proxy; `only`: one pool, or below 0 its way out or
    // back.
    double lines_of(const RoutingEntry& entry, int only) const {
        const bool out = entry.wanted() == 0, said = out && entry.out;
        if (only >= 0) {
            return 1.0 + (entry.shaky && !out);
        }
        double lines =
            !said && (!out || entry.sent() > 0);  // who holds no line of it hears nothing
        if (!out || said) {
            for (const auto& [k, line] : entry.lines) {
                lines += line->wanted != line->sent;
            }
        }
        return lines;
    }

    void carry_out(RoutingEntry& entry, int only) {
        const bool out = entry.wanted() == 0, said = out && entry.out;
        tables.recount(entry, [&] {
            for (const auto& [k, line] : entry.lines) {
                // Said again, a withdrawal is to reach none that heard it: their tables drop the
                // line first.
                const bool meant = only < 0 ? !out || said : static_cast<int>(k) == only;
                if (!meant || line->wanted == line->sent) {
                    continue;
                }
                context.orders.push_back(
                    order::SetTableEntry{table_of(k, entry.subset), *entry.id, line->wanted});
                line->sent = line->wanted;
            }
            if (only < 0) {
                entry.out = out, entry.shaky = true;
            }
        });
        tables.touch(entry), RoutingTables::put(tables.unsent, entry, entry.sent() == 0);
        if (only >= 0) {
            return;
        }
        context.orders.push_back(order::SetWithdrawn{*entry.id, out});
        entry.known_to = joinings;
        if (!said) {
            tables.set_left(entry, context.now);
        }
    }

    void send_changes() {
        // What unbound proxies hold can't be seen: each is told what leaves or comes back since it
        // joined.
        std::vector<int> turns, told;
        for (const auto& [place, loose] : unbound) {
            turns.push_back(loose.turn);
        }
        std::ranges::sort(turns);
        const auto after = [&](int t) {
            return 1.0 * (turns.end() - std::ranges::upper_bound(turns, t));
        };
        std::vector<double> lines(subsets.size());  // for each proxy of a subset
        double loose = 0;
        int first = joinings;  // for those not bound; the earliest turn one is known to
        bool pressing = false, learnt = false;
        const auto to_bound = [&](double each, double more, int subset) {  // below 0: all of them
            double sum = 0;
            for (int p = 0; p < std::ssize(lines); ++p) {
                const double its = lines[p] + (subset == p || subset < 0 ? more : 0);
                sum += (its > 0 ? each + its : 0) * 1.0 * subsets[p].all.size();
            }
            return sum;
        };
        const auto fits = [&](int rank, double more, int subset, int since) {
            if (context.now < (rank == 0 ? next_pressing : next_learnt)) {
                return false;
            }
            const double others = loose + after(since) + head * after(std::min(first, since));
            // Who comes back is capacity: it is worth as much room as a binding, and no part of the
            // pace.
            const bool back = rank == 1 && since == 0;
            return to_bound(head, more, subset) + others <= room(back ? -1 : rank) &&
                   (rank == 0 || back ||
                    to_bound(kDesignHead, more, subset) <= std::max(allowance, 0.0));
        };
        // Guards against more withdrawals than the channel carries within the grace, for many
        // servers or many proxies: nothing is let in until they are on their way. It costs service
        // for so long.
        const double each = 1.0 * bound.size() / std::max<std::size_t>(subsets.size(), 1);
        const double to_go = (send_window.pending() + pressed * each) /
                             (kSurePace * context.settings.channel_lines_per_second);
        const Duration left_of_grace = oldest + context.settings.drain_grace -
                                       context.settings.max_message_delay - context.now;
        braked = pressed > 0 && (braked || to_go > seconds(left_of_grace));
        const RealVector levels = wanted_levels * (braked ? 0.0 : 1.0);
        const bool never = cold || levels.min() < 1, turned = never != sent_never;
        const int rank = levels.max() == 0 || sent_levels.max() == 0 ? 0 : 1;
        const bool worth = turned || std::abs(levels - sent_levels).max() > kLevelWorthSending;
        if (const double all = 1.0 * levels.size(); worth && fits(rank, all, -1, joinings)) {
            const RetryPolicy how = never ? RetryPolicy::never : kFurther;
            for (std::size_t k = 0; k < tables.pools.size(); ++k) {
                for (const auto m : binding(k).methods) {
                    for (std::size_t p = 0; p < subsets.size(); ++p) {
                        context.orders.push_back(
                            order::SetAdmission{table_of(k, p), {m}, top * levels[m.value], how});
                    }
                }
            }
            sent_levels = levels, sent_never = never,
            (rank == 0 ? pressing : learnt) = levels_told = true;
            for (const auto& [proxy, its] : bound) {
                if (its.few) {
                    tell_levels(own_table(proxy), context.orders);
                }
            }
            for (double& its : lines) {
                its += all;
            }
        }
        for (; !handovers.empty() && fits(0, 1, -1, joinings);
             handovers.pop_front(), pressing = true) {
            for (double& its : lines) {
                its += 1;
            }
            const auto& [slice, server, weight] = handovers.front();
            context.orders.push_back(order::SetTableEntry{slice, server, weight});
        }
        while (!tables.plan.empty()) {
            const auto [rank, size, server, pool] = *tables.plan.begin();
            RoutingEntry& entry = tables.servers.at(server);
            const bool said = entry.out && entry.wanted() == 0;
            const int since = pool >= 0 ? joinings : said ? entry.known_to : 0;
            const double more = lines_of(entry, pool);
            if (!fits(rank, more, static_cast<int>(entry.subset), since)) {
                break;
            }
            (rank == 0 ? pressing : learnt) = true;
            if (rank == 0) {
                pressed = std::max(0, pressed - 1);
            }
            lines[entry.subset] += more, loose += after(since), first = std::min(first, since);
            told.push_back(since), tables.take_first(), carry_out(entry, pool);
        }
        if (!pressing && !learnt) {
            return;
        }
        std::ranges::sort(told);
        for (const auto& [place, its] : unbound) {
            const auto news = std::ranges::lower_bound(told, its.turn) - told.begin();
            if (news > 0) {
                send_window.charge(std::get<ProxyId>(place), head + 1.0 * news);
            }
        }
        for (const auto& [proxy, its] : bound) {
            if (lines[its.subset] > 0) {
                send_window.charge(proxy, head + lines[its.subset]);
            }
        }
        if (learnt) {
            allowance = std::max(0.0, allowance - to_bound(kDesignHead, 0, -1));
        }
        // So spaced they stay under the most that a proxy may get, with its binding.
        const int most = context.settings.max_messages_per_proxy > 0
                             ? std::max(1, context.settings.max_messages_per_proxy - 3)
                             : 1'000'000;
        const Duration share = context.settings.message_limit_window / most;
        if (pressing) {
            next_pressing = context.now + std::max(kMerge, share * 10 / 7);
        }
        if (learnt) {
            next_learnt = context.now + std::max(kMergeLearnt, share * 10 / 3);
        }
    }

    std::size_t own_table(ProxyId proxy) const {
        return subsets.size() + proxy.value;
    }  // as a subset's is
    void clear_own_table(ProxyId proxy) {
        const auto at = bound.find(proxy);
        for (std::size_t k = 0; at != bound.end() && at->second.few && k < tables.pools.size();
             ++k) {
            context.orders.push_back(order::ClearTable{table_of(k, own_table(proxy))});
        }
    }
    void tell_levels(std::size_t table, std::vector<Order>& orders) const {
        const RetryPolicy how = sent_never ? RetryPolicy::never : kFurther;
        for (std::size_t k = 0; k < tables.pools.size(); ++k) {
            for (const MethodId m : binding(k).methods) {
                orders.push_back(
                    order::SetAdmission{table_of(k, table), {m}, top * sent_levels[m.value], how});
            }
        }
    }
    double cost_of(ZoneId zone,
                   std::size_t subset) const {  // lines of a binding at most, 0 of an empty one
        double lines = 0, its = 0;              // its: tables
        for (std::size_t k = 0; k < tables.pools.size(); ++k) {
            if (meant_for(k, zone)) {
                lines += tables.pools[k].bind_lines[subset], ++its;
            }
        }
        return lines == 0 ? 0 : head + lines + its + 1.0 * sent_levels.size();
    }
    double bind(ProxyId proxy, ZoneId zone, double rate, std::size_t subset,
                double most) {  // what it cost
        const double cost = cost_of(zone, subset);
        if (cost == 0 || cost > most) {
            return 0;
        }
        std::vector<Order> orders;
        for (std::size_t k = 0; k < tables.pools.size(); ++k) {
            if (meant_for(k, zone)) {
                orders.push_back(order::BindProxy{table_of(k, subset), binding(k).methods, proxy});
            }
        }
        return take_binding(proxy, {zone, rate, subset}, orders, cost);
    }
    // To a table of its own with a few of the subset's servers that are not out, others for each
    // proxy.
    double bind_few(ProxyId proxy, ZoneId zone, double rate, std::size_t subset, double most) {
        double cost = head + 1.0 * sent_levels.size();
        bool any = false;
        std::vector<Order> orders;
        if (levels_told) {
            tell_levels(own_table(proxy), orders);
        }
        for (std::size_t k = 0; k < tables.pools.size(); ++k) {
            if (!meant_for(k, zone)) {
                continue;
            }
            for (const TableEntry* const line : few_of(k, subset, proxy)) {
                cost += line->entry->shaky ? 2 : 1, any = true;
                const TableId own = table_of(k, own_table(proxy));
                orders.push_back(order::SetTableEntry{own, *line->entry->id, line->sent});
            }
            orders.push_back(
                order::BindProxy{table_of(k, own_table(proxy)), binding(k).methods, proxy}),
                ++cost;
        }
        return take_binding(proxy, {zone, rate, subset, true}, orders,
                            any && cost <= most ? cost : 0);
    }
    std::vector<const TableEntry*> few_of(std::size_t pool, std::size_t subset,
                                          ProxyId proxy) const {
        std::vector<const TableEntry*> lines;
        for (const auto& [id, line] : tables.pools[pool].lines) {
            if (line.entry->subset == subset && line.sent > 0 && !line.entry->out) {
                lines.push_back(&line);
            }
        }
        constexpr auto few = static_cast<std::size_t>(kLeastSubset);
        if (lines.size() <= few) {
            return lines;
        }
        std::ranges::rotate(lines,
                            lines.begin() + static_cast<int>(proxy.value * few % lines.size()));
        lines.resize(few);
        return lines;
    }
    double take_binding(ProxyId proxy, const BoundProxy& as, const std::vector<Order>& orders,
                        double cost) {
        if (cost == 0) {
            return 0;
        }
        context.orders.insert(context.orders.end(), orders.begin(), orders.end());
        clear_own_table(proxy), tables.bind(proxy, as), send_window.charge(proxy, cost);
        if (as.few) {
            few_bound.push_back(proxy);
        }
        return cost;
    }

    // Guards against many who join with another planner's tables amid drains, where the withdrawals
    // that each is owed take more lines than its binding: it is bound in their room; and where
    // whole tables of all would take longer than the grace, with a few servers first. It costs a
    // second binding.
    void bind_joined() {
        while (!unbound.empty() && !subsets.empty()) {
            const auto [place, loose] = *unbound.begin();
            const auto [standing, order, proxy] = place;
            const double rate = std::max(-order, 1e-3);
            const std::size_t subset = lightest(loose.zone, rate);
            const double cost = cost_of(loose.zone, subset);
            const bool urgent = owed > cost;
            const double in_grace = kSurePace * seconds(context.settings.drain_grace) *
                                    context.settings.channel_lines_per_second;
            // What does not fit waits, and its proxy goes on by what it holds.
            const double most = room(send_window.pending() > 0 && !urgent ? -1 : 0);
            const bool few = urgent && send_window.pending() + cost * unbound.size() > in_grace;
            if (!(few && bind_few(proxy, loose.zone, rate, subset, most) > 0) &&
                bind(proxy, loose.zone, rate, subset, most) == 0) {
                break;
            }
            unbound.erase(place);
        }
    }
    // Who has a few servers gets the others.
    void bind_whole() {
        for (; unbound.empty() && !few_bound.empty(); few_bound.pop_front()) {
            const ProxyId proxy = few_bound.front();
            const auto at = bound.find(proxy);
            if (at == bound.end() || !at->second.few) {
                continue;
            }
            const auto [zone, rate, subset, few] = at->second;
            if (bind(proxy, zone, rate, subset, room(send_window.pending() > 0 ? -1 : 0)) == 0) {
                break;
            }
        }
    }
};

}  // namespace micaroad::decision
