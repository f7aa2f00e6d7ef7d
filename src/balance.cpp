// micaroad's decisions, all of them.
//
// How to call it: see include/micaroad/planner.hpp, its interface. Events are heard, decide() empties every
// inbox and hands back the orders; the times in them are on the caller's clock. docs/design.md gives the reasons.
//
// The ordinary path is the design's: a softmax weight for each server and pool, bounded gradient steps on the
// queues and the tail that an M/M/1 model predicts, one shared table a pool, largest changes first.
// Beside it stand six mechanisms:
//   1. failures and owed answers count as late answers        (Weigher::weigh_evidence)
//   2. a fresh server's share and the fleet's level are eased (Weigher::ceiling, Gate)
//   3. levels when the whole fleet is late                    (Gate)
//   4. further tries where they can't take effect twice       (Gate)
//   5. tables bound on joining, drains ahead of all budgets   (Channel)
//   6. slices and their owners                                (SliceKeeper)
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>

#include "micaroad/planner.hpp"

namespace micaroad {
namespace {

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }

// ---- Notes: what the parts put into each other's inboxes ----------------------------------------------------

struct Listed { ListedServer entry; };
struct Unlisted {};
struct Met { double tries, bad; Span mean, over; };
struct Beat {};  // the evidence of a step is complete
struct Step {};  // time to move the weights
struct Pulse {};  // the channel may send
struct Standing {  // a server, as it sees itself
    ListedServer entry;
    bool open = false;
    bool fresh = false;
    int steps_open = 0;  // since its start became known
    double tries = 0, bad = 0, answer_seconds = 0, window = 0;
};
struct Wish { TableId table; ServerId server; double share; bool urgent; };
struct Binding { TableId table; std::vector<MethodId> methods; std::optional<ZoneId> zone; };
struct Strain { double answer, soft_deadline, rate, servers, eased; };  // of the whole fleet, in seconds
struct Demand { std::vector<double> rates; };  // RPCs a second let in, by method
struct LevelWish { MethodId method; double amount; };

using Note = std::variant<Listed, Unlisted, Met, Beat, Step, Pulse, Standing, Wish, Binding, Strain, Demand,
                          LevelWish, event::ProxyJoined, event::ProxyLeft, event::Arrivals, event::SliceGiven,
                          event::SliceOwner>;

struct Part {
    std::deque<Note> inbox;
};

// What every part may look at.
struct Desk {
    const Terms terms;
    std::minstd_rand chance;
    Instant now{};
    std::vector<Order> orders;
    std::multimap<Instant, std::pair<Part*, Note>> agenda;  // every due time but the periodic one
};

// ---- A server ------------------------------------------------------------------------------------------------

struct Server : Part {
    Desk& desk;
    Part& weigher;
    Part& keeper;
    Standing self;
    std::optional<Instant> heard_of_start;

    Server(Desk& desk, Part& weigher, Part& keeper) : desk(desk), weigher(weigher), keeper(keeper) {}

    void on(const Listed& note) {
        const bool known = !self.entry.server.value.empty();
        const bool restarted = note.entry.last_start && note.entry.last_start != self.entry.last_start;
        const bool was_open = self.open;
        self.entry = note.entry;
        if (!std::isfinite(self.entry.size) || self.entry.size <= 0) self.entry.size = 1;
        self.open = self.entry.phase == Phase::ready;
        if (restarted || !known) {
            self.tries = self.bad = self.answer_seconds = self.window = 0;
            self.steps_open = 0;
        }
        self.fresh = warming();
        if (!known || restarted || was_open != self.open) tell();
    }

    void on(const Unlisted&) {
        if (!self.open) return;
        self.entry.phase = Phase::gone;
        self.open = false;
        tell();
    }

    void on(const Met& note) {
        // Guards against a report of the life before a restart; harmless but for a little lost evidence.
        if (!self.open || (self.entry.last_start && desk.now - note.over < *self.entry.last_start)) return;
        self.tries += note.tries;
        self.bad += note.bad;
        self.answer_seconds += (note.tries - note.bad) * seconds(note.mean);
    }

    void on(const Beat&) {
        self.fresh = warming();
        ++self.steps_open;
        self.window += seconds(kStep);
        tell();
        // Reports since the last step count in full, older ones by half at each step: a step alone sees too few
        // RPCs a server to tell speeds apart.
        for (double* part : {&self.tries, &self.bad, &self.answer_seconds, &self.window}) *part *= kMemory;
    }

    static constexpr double kMemory = 0.5;
    // The design starts at 5 s; half of it follows a day's troubles and still sees several RPCs a server.
    static constexpr Span kStep = std::chrono::milliseconds(2500);

   private:
    bool warming() const {
        return self.open && self.entry.last_start && desk.now - *self.entry.last_start < desk.terms.warm_after;
    }
    void tell() {
        weigher.inbox.push_back(self);
        keeper.inbox.push_back(self);
    }
};

// ---- The design: weights, cost, steps ------------------------------------------------------------------------

struct Weigher : Part {
    struct Member {
        Standing seen;
        std::vector<double> weight, share, share_before;  // by pool
        double rate = 0, answer = 0;                      // as judged at the last step
    };
    struct Pool {
        Binding binding;
        Method like;  // its first method: all of a pool are open to the same servers
        double rate = 1;
    };

    Desk& desk;
    Part& channel;
    Part& gate;
    std::vector<Pool> pools;
    std::map<ServerId, Member> members;
    bool changed = false;
    double limit = 0;  // seconds, for the tail; 0 until an answer was heard

    Weigher(Desk& desk, Part& channel, Part& gate) : desk(desk), channel(channel), gate(gate) {
        if (desk.terms.slices > 0) return;
        for (int m = 0; m < static_cast<int>(desk.terms.methods.size()); ++m) {
            const Method& method = desk.terms.methods[m];
            for (int zone = 0; zone < (method.own_zone_only ? desk.terms.zones : 1); ++zone) {
                const auto alike = [&](const Pool& pool) {
                    return pool.like.only_kinds == method.only_kinds &&
                           pool.like.only_zones == method.only_zones &&
                           pool.like.own_zone_only == method.own_zone_only &&
                           pool.binding.zone.value_or(ZoneId{0}) == ZoneId{zone};
                };
                auto pool = std::find_if(pools.begin(), pools.end(), alike);
                if (pool == pools.end()) {
                    Binding binding{TableId{static_cast<int>(pools.size()) + 1}, {}, {}};
                    if (method.own_zone_only) binding.zone = ZoneId{zone};
                    pool = pools.insert(pools.end(), {binding, method, 0});
                }
                pool->binding.methods.push_back(MethodId{m});
                pool->rate += 1;
            }
        }
        for (const Pool& pool : pools) channel.inbox.push_back(pool.binding);
    }

    static bool serves(const Pool& pool, const Standing& server) {
        const auto among = [](const auto& only, const auto& id) {
            return only.empty() || std::find(only.begin(), only.end(), id) != only.end();
        };
        return server.open && among(pool.like.only_kinds, server.entry.kind) &&
               among(pool.like.only_zones, server.entry.zone) &&
               (!pool.binding.zone || *pool.binding.zone == server.entry.zone);
    }

    void on(const Standing& note) {
        auto [at, added] = members.try_emplace(note.entry.server);
        Member& member = at->second;
        const bool reopened = note.open && !member.seen.open;
        changed |= added || note.open != member.seen.open || note.steps_open < member.seen.steps_open;
        member.seen = note;
        if (added) {
            member.share.resize(pools.size());
            member.share_before.resize(pools.size());
            member.weight.resize(pools.size());
        }
        for (std::size_t k = 0; k < pools.size() && reopened; ++k) member.weight[k] = entry_weight(k, note);
        if (changed) inbox.push_back(Pulse{});
    }

    void on(const Pulse&) {
        if (std::exchange(changed, false)) publish(true);
    }

    void on(const Demand& note) {
        for (Pool& pool : pools) {
            double rate = 0;
            for (const MethodId method : pool.binding.methods) rate += note.rates[method.value];
            if (rate > 0) pool.rate = rate;
        }
    }

    void on(const Step&) {
        if (!weigh_evidence()) return publish(false);
        std::vector<Member*> open;
        for (auto& [id, member] : members) if (member.seen.open) open.push_back(&member);
        const std::vector<ServerLoad> loads = loads_at(open, [](const Member& m, std::size_t k) { return m.share[k]; });
        // The tail's price grows tenfold for each quarter that p95 lies over its limit; past twice the limit it
        // says nothing more, as then it is all of the cost anyway.
        const double measured = look_ahead(loads, {}).p95 / limit;
        const TailTerm tail{5 * std::exp(10 * (std::min(measured, 2.0) - 1)), limit};
        const Prospect here = look_ahead(loads, tail);

        std::vector<std::vector<double>> gradient(pools.size(), std::vector<double>(open.size()));
        for (std::size_t k = 0; k < pools.size(); ++k) {
            double mean = 0;
            for (std::size_t i = 0; i < open.size(); ++i) mean += open[i]->share[k] * here.slope[i];
            for (std::size_t i = 0; i < open.size(); ++i) {
                gradient[k][i] = load_per_rate * pools[k].rate * open[i]->share[k] * (here.slope[i] - mean);
            }
        }
        const double scale = kStepScale * static_cast<double>(open.size()) / std::max(here.cost, 1e-9);
        const auto after = [&](double c) {
            std::vector<std::vector<double>> share(pools.size());
            for (std::size_t k = 0; k < pools.size(); ++k) {
                std::vector<double> weight;
                for (std::size_t i = 0; i < open.size(); ++i) {
                    weight.push_back(open[i]->weight[k] - c * scale * gradient[k][i]);
                }
                share[k] = shares(k, open, weight);
            }
            return share;
        };
        const auto moved = [&](double c) {
            const auto share = after(c);
            double sum = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                for (std::size_t i = 0; i < open.size(); ++i) {
                    sum += std::pow(share[k][i] - open[i]->share[k], 2);
                }
            }
            return std::sqrt(sum);
        };
        double c = 1;
        if (moved(1) > kMostMove) {
            double low = 0, high = 1;
            for (int round = 0; round < 30; ++round) (moved((low + high) / 2) > kMostMove ? high : low) = (low + high) / 2;
            c = low;
        }
        const auto cost = [&](double c) {
            const auto share = after(c);
            return look_ahead(loads_at(open, [&](const Member& m, std::size_t k) {
                return share[k][std::find(open.begin(), open.end(), &m) - open.begin()];
            }), tail).cost;
        };
        // A step within the bound can still overshoot what the model says is best along it: halved until not.
        double best = cost(c);
        for (double half = cost(c / 2); half < best && c > 1e-3; half = cost(c / 2)) {
            best = half;
            c /= 2;
        }
        if (here.cost - best > kLeastGain * here.cost) {
            for (std::size_t k = 0; k < pools.size(); ++k) {
                for (std::size_t i = 0; i < open.size(); ++i) {
                    if (serves(pools[k], open[i]->seen)) open[i]->weight[k] -= c * scale * gradient[k][i];
                }
                hold_floor(k, open);
            }
        }
        publish(false);
    }

   private:
    static constexpr double kMostMove = 0.15;  // the design's
    // The design's 0.5, on the gradient of the cost's logarithm a server, so that a pool's size and traffic do
    // not set how fast it learns.
    static constexpr double kStepScale = 0.5;
    // The design starts at a tenth; one slow server of twenty costs less than that and is worth a step.
    static constexpr double kLeastGain = 0.01;
    // No learnt share is under this part of the largest: what is never tried can't be seen to have recovered.
    static constexpr double kFloor = 0.02;
    // Evidence of so many RPCs weighs as much as the pool's mean.
    static constexpr double kDoubt = 4;
    double load_per_rate = 1;  // RPCs heard of for each one that the tables were expected to bring

    double entry_weight(std::size_t k, const Standing& entering) const {
        double sum = 0, count = 0;
        for (const auto& [id, member] : members) {
            if (id == entering.entry.server || !serves(pools[k], member.seen)) continue;
            sum += member.weight[k] - std::log(member.seen.entry.size);
            count += 1;
        }
        return std::log(entering.entry.size) + (count > 0 ? sum / count : 0);
    }

    // Mechanism 1. Guards against a server that fails fast (looks idle), hangs (has no answer time) or can't be
    // reached: a failed try counts as an answer at twice the tail's limit, and tries that a server's share owes
    // but that never ended count as failed. It should answer whatever makes answers fail or stay away. It could
    // harm where few RPCs come, as chance then looks like silence: hence the least number owed.
    bool weigh_evidence() {
        std::vector<double> means;
        double tries = 0, window = 0, expected_all = 0;
        for (auto& [id, member] : members) {
            const Standing& seen = member.seen;
            if (!seen.open) continue;
            tries += seen.tries;
            window = std::max(window, seen.window);
            if (seen.tries > seen.bad) means.push_back(seen.answer_seconds / (seen.tries - seen.bad));
        }
        if (means.empty() || tries <= 0) return false;
        if (limit == 0) {
            std::nth_element(means.begin(), means.begin() + means.size() / 2, means.end());
            Span soonest = Span::max();
            for (const Method& method : desk.terms.methods) soonest = std::min(soonest, method.soft_deadline);
            limit = std::max(2 * means[means.size() / 2], seconds(soonest));
        }
        double rate = 0;
        for (const Pool& pool : pools) rate += pool.rate;
        double seconds_all = 0, counted = 0;
        for (auto& [id, member] : members) {
            const Standing& seen = member.seen;
            if (!seen.open) continue;
            double part = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                part += pools[k].rate / rate * std::min(member.share[k], member.share_before[k]);
            }
            const double expected = part * tries;
            expected_all += part;
            const double owed = expected > kLeastOwed && seen.tries < expected / 4 ? expected - seen.tries : 0;
            member.rate = seen.tries + owed;
            member.answer = seen.answer_seconds + (seen.bad + owed) * 2 * limit;
            seconds_all += member.answer;
            counted += member.rate;
        }
        const double mean = seconds_all / counted;
        for (auto& [id, member] : members) {
            if (!member.seen.open) continue;
            member.answer = (member.answer + kDoubt * mean) / (member.rate + kDoubt);
            member.rate /= window;
        }
        load_per_rate = counted / window / rate;
        double heavier = 0, late = 0;  // the load-weighted median of the answer times
        std::vector<std::pair<double, double>> by_answer;
        double eased = 0, open = 0;
        for (auto& [id, member] : members) {
            if (!member.seen.open) continue;
            by_answer.emplace_back(member.answer, member.rate);
            heavier += member.rate / 2;
            eased += member.seen.fresh ? ceiling(member.seen) : 1;
            open += 1;
        }
        std::sort(by_answer.begin(), by_answer.end());
        for (const auto& [answer, weight] : by_answer) {
            late = answer;
            if ((heavier -= weight) <= 0) break;
        }
        gate.inbox.push_back(Strain{late, limit, counted / window, open, eased / open});
        return true;
    }
    static constexpr double kLeastOwed = 5;

    // Mechanism 2. The design starts a fresh server at a quarter of its listed share; here at half of the part of
    // its capacity that it is told to start with, as further tries can double what a busy fleet sends. It doubles
    // every other step, for as long as the server may be cold.
    double ceiling(const Standing& server) const {
        return std::min(1.0, desk.terms.cold_capacity / 2 * std::pow(2.0, std::min(server.steps_open / 2, 10)));
    }

    template <class ShareOf>
    std::vector<ServerLoad> loads_at(const std::vector<Member*>& open, ShareOf share_of) const {
        std::vector<ServerLoad> loads;
        for (const Member* member : open) {
            double now = 0, then = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                now += pools[k].rate * member->share[k];
                then += pools[k].rate * share_of(*member, k);
            }
            const double rate = member->rate + load_per_rate * (then - now);
            loads.push_back({std::max(rate, 0.0), member->rate + 1 / std::max(member->answer, 1e-4)});
        }
        return loads;
    }

    // Softmax over the servers that a pool is open to, none above its ceiling while others have room.
    std::vector<double> shares(std::size_t k, const std::vector<Member*>& open,
                               const std::vector<double>& weight) const {
        std::vector<double> share(open.size());
        double top = -1e300, sum = 0, size = 0;
        for (std::size_t i = 0; i < open.size(); ++i) {
            if (!serves(pools[k], open[i]->seen)) continue;
            top = std::max(top, weight[i]);
            size += open[i]->seen.entry.size;
        }
        for (std::size_t i = 0; i < open.size(); ++i) {
            if (serves(pools[k], open[i]->seen)) sum += share[i] = std::exp(weight[i] - top);
        }
        if (sum <= 0) return share;
        double capped = 0, free = 0;
        for (std::size_t i = 0; i < open.size(); ++i) {
            share[i] /= sum;
            const double most = open[i]->seen.fresh
                                    ? ceiling(open[i]->seen) * open[i]->seen.entry.size / size
                                    : 2.0;
            if (share[i] >= most) capped += share[i] = most;
            else free += share[i];
        }
        const double stretch = free > 0 && capped < 1 ? (1 - capped) / free : 1;
        for (std::size_t i = 0; i < open.size(); ++i) {
            const bool held = open[i]->seen.fresh &&
                              share[i] >= ceiling(open[i]->seen) * open[i]->seen.entry.size / size;
            if (!held) share[i] *= stretch;
        }
        const double whole = std::accumulate(share.begin(), share.end(), 0.0);
        for (double& s : share) s /= whole;
        return share;
    }

    void hold_floor(std::size_t k, const std::vector<Member*>& open) {
        double top = -1e300;
        for (const Member* m : open) if (serves(pools[k], m->seen)) top = std::max(top, m->weight[k]);
        for (Member* m : open) m->weight[k] = std::max(m->weight[k], top + std::log(kFloor));
    }

    void publish(bool urgent) {
        std::vector<Member*> open;
        for (auto& [id, member] : members) {
            member.share_before = member.share;
            if (member.seen.open) open.push_back(&member);
        }
        for (std::size_t k = 0; k < pools.size(); ++k) {
            std::vector<double> weight;
            for (const Member* member : open) weight.push_back(member->weight[k]);
            const std::vector<double> share = shares(k, open, weight);
            for (auto& [id, member] : members) member.share[k] = 0;
            for (std::size_t i = 0; i < open.size(); ++i) open[i]->share[k] = share[i];
            for (auto& [id, member] : members) {
                const double part = member.share[k];
                const bool pressing = urgent && (part == 0 || member.seen.fresh);
                channel.inbox.push_back(Wish{pools[k].binding.table, id, part, pressing});
            }
        }
        std::erase_if(members, [](const auto& entry) { return entry.second.seen.entry.phase == Phase::gone; });
    }
};

// ---- Levels and further tries --------------------------------------------------------------------------------

struct Gate : Part {
    Desk& desk;
    Part& weigher;
    Part& channel;
    std::vector<double> came;     // RPCs by method, older ones fading
    std::vector<double> allowed;  // by method
    double window = 0;
    double let_in = 1;
    int steps_since_cut = 100;

    Gate(Desk& desk, Part& weigher, Part& channel)
        : desk(desk), weigher(weigher), channel(channel), came(desk.terms.methods.size()),
          allowed(desk.terms.methods.size(), 1.0) {}

    void on(const event::Arrivals& note) { came[note.method.value] += note.count; }

    void on(const Beat&) {
        window += seconds(Server::kStep);
        Demand demand;
        for (std::size_t m = 0; m < came.size(); ++m) demand.rates.push_back(came[m] / window * allowed[m]);
        weigher.inbox.push_back(demand);
    }

    // Mechanism 3. Guards against a fleet that is late as a whole, whatever the cause: what is let in follows the
    // same M/M/1 model, which tells how much less load brings the median answer back to a part of the soft
    // deadline, and how much more it still bears. It should answer overload, shared slowness and retry storms. It
    // could harm where RPCs are late for a reason that load does not change; the floor keeps most of them coming.
    void on(const Strain& note) {
        ++steps_since_cut;
        const double aim = kAim * note.soft_deadline;
        const double room = 1 + note.servers * (1 / note.answer - 1 / aim) / std::max(note.rate, 1e-6);
        if (note.answer > aim && steps_since_cut > kSettleSteps) {
            let_in = std::max(let_in * std::clamp(aim / note.answer, 0.6, 1.0), kLeastLetIn);
            steps_since_cut = 0;
        } else if (note.answer < 0.75 * aim) {
            let_in = std::min(1.0, let_in * std::min(room, 1.25));
        }
        share_out(std::min(let_in, 2 * note.eased));
        for (double& count : came) count *= Server::kMemory;
        window *= Server::kMemory;
    }

   private:
    static constexpr double kAim = 0.7;  // a mean so late leaves a fifth of exponential answers past the deadline
    static constexpr double kLeastLetIn = 0.3;
    static constexpr int kSettleSteps = 1;  // the next reports still show RPCs let in before the cut

    // Least criticality first, or all methods alike: whichever keeps more of the goal.
    void share_out(double whole) {
        const auto& methods = desk.terms.methods;
        const double total = std::accumulate(came.begin(), came.end(), 0.0);
        std::vector<std::size_t> order(methods.size());
        std::iota(order.begin(), order.end(), 0u);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return methods[a].criticality < methods[b].criticality;
        });
        std::vector<double> ranked(methods.size(), 1.0);
        double spare = (1 - whole) * total;
        for (const std::size_t m : order) {
            const double cut = std::min(spare, came[m]);
            if (came[m] > 0) ranked[m] = 1 - cut / came[m];
            spare -= cut;
        }
        const auto goal = [&](const std::vector<double>& level) {
            double kept = 0, asked = 0, worst = 1;
            for (std::size_t m = 0; m < methods.size(); ++m) {
                kept += methods[m].criticality * came[m] * level[m];
                asked += methods[m].criticality * came[m];
                worst = std::min(worst, level[m]);
            }
            return desk.terms.whole_weight * (asked > 0 ? kept / asked : 1) +
                   desk.terms.worst_method_weight * worst;
        };
        const std::vector<double> alike(methods.size(), whole);
        allowed = goal(ranked) > goal(alike) ? ranked : alike;
        for (std::size_t m = 0; m < methods.size(); ++m) {
            double amount = allowed[m];
            if (desk.terms.levels == LevelKind::rate) {
                amount = amount >= 1 ? 1e6 : amount * came[m] / std::max(window, 0.1) / desk.terms.proxies;
            }
            channel.inbox.push_back(LevelWish{MethodId{static_cast<int>(m)}, amount});
        }
    }
};

// ---- The channel: what goes to the proxies, and when ----------------------------------------------------------

struct Channel : Part {
    // Mechanism 4. A further try only after proof that the first never ran: no effect can come twice, whatever the
    // method, and a busy fleet is not sent the same work twice.
    static constexpr FurtherTry kFurther = FurtherTry::once_if_never_ran;

    struct Line {
        double wanted = 0, sent = 0;
        bool urgent = false;
    };
    struct Proxy {
        ZoneId zone;
        std::deque<Instant> messages;
    };

    Desk& desk;
    std::vector<Binding> bindings;
    std::map<TableId, std::map<ServerId, Line>> tables;
    std::map<ProxyId, Proxy> proxies;
    std::vector<ProxyId> joining;
    std::vector<double> wanted_levels, sent_levels;  // by method
    double waiting = 0;    // lines, as if the channel ran at a part of its pace
    double allowance = 0;  // lines that ordinary changes may use
    Instant counted{};

    explicit Channel(Desk& desk) : desk(desk) {
        wanted_levels.assign(desk.terms.methods.size(), 1.0);
        sent_levels.assign(wanted_levels.size(), desk.terms.further_tries == kFurther ? 1.0 : 0.0);
    }

    void on(const Binding& note) { bindings.push_back(note); }
    void on(const Wish& note) {
        Line& line = tables[note.table][note.server];
        line.wanted = note.share;
        line.urgent |= note.urgent;
    }
    void on(const LevelWish& note) { wanted_levels[note.method.value] = note.amount; }
    void on(const event::ProxyJoined& note) {
        proxies[note.proxy] = Proxy{note.zone, {}};
        joining.push_back(note.proxy);
    }
    void on(const event::ProxyLeft& note) { proxies.erase(note.proxy); }
    // A slice's line as the store has it: sent, by whoever had it before.
    void on(const event::SliceOwner& note) {
        Line& line = tables[note.slice][note.server];
        line.wanted = line.sent = note.weight;
    }
    void on(const event::SliceGiven& note) { tables.erase(note.slice); }

    // Mechanism 5. Guards against tables that outlive what they say: drains, fresh servers and joining proxies
    // go out at once and ahead of the budget, up to the rule's limits; all else waits its turn, merged.
    void on(const Pulse&) {
        const Terms& terms = desk.terms;
        const double passed = seconds(desk.now - counted);
        counted = desk.now;
        waiting = std::max(0.0, waiting - kSurePace * terms.lines_per_second * passed);
        allowance = std::min(allowance + terms.lines_per_second / 2 * passed, terms.lines_per_second * 2);
        proxies.empty() ? fill_tables() : send_changes();
        bind_joining();
    }

   private:
    static constexpr double kSurePace = 0.6;  // a channel may run slower than told
    static constexpr double kLevelWorthSending = 0.03;
    static constexpr double kWorthSending = 0.1;  // the design's: share changes over a tenth go out
    static constexpr double kDesignHead = 6;      // the design counts a message so

    bool may_write(bool urgent) {
        if (desk.terms.messages_most <= 0) return true;
        for (auto& [id, proxy] : proxies) {
            while (!proxy.messages.empty() && desk.now - proxy.messages.front() >= desk.terms.messages_span) {
                proxy.messages.pop_front();
            }
            const int most = urgent ? desk.terms.messages_most - 1 : desk.terms.messages_most / 2;
            if (static_cast<int>(proxy.messages.size()) >= most) return false;
        }
        return true;
    }

    void write(TableId table, ServerId server, Line& line) {
        desk.orders.push_back(order::SetLine{table, server, line.wanted});
        line.sent = line.wanted;
        line.urgent = false;
    }

    // With nobody joined, lines cost nothing.
    void fill_tables() {
        for (auto& [table, lines] : tables) {
            for (auto& [server, line] : lines) if (line.wanted != line.sent) write(table, server, line);
        }
    }

    void send_changes() {
        struct Change { int rank; double size; TableId table; ServerId server; Line* line; };
        std::vector<Change> changes;
        for (auto& [table, lines] : tables) {
            const bool bare = std::none_of(lines.begin(), lines.end(), [](const auto& entry) {
                return entry.second.sent > 0 && entry.second.wanted > 0;
            });
            for (auto& [server, line] : lines) {
                const double size = std::abs(line.wanted - line.sent);
                if (line.wanted == line.sent) { line.urgent = false; continue; }
                if (line.wanted > 0 && line.sent > 0 && size <= kWorthSending * line.sent) continue;
                const bool urgent = line.wanted == 0 || (line.urgent && line.wanted < line.sent) || bare;
                changes.push_back({urgent ? 0 : 1, size, table, server, &line});
            }
        }
        std::sort(changes.begin(), changes.end(), [](const Change& a, const Change& b) {
            return std::tie(a.rank, b.size, a.table, a.server) < std::tie(b.rank, a.size, b.table, b.server);
        });
        const double bound = static_cast<double>(proxies.size());
        const bool pressing = !changes.empty() && changes.front().rank == 0;
        if (!may_write(pressing)) return;
        double lines = 0;
        const auto fits = [&](int rank) {
            const double cost = (kDesignHead + lines + 1) * bound;
            return rank == 0 ? waiting + cost <= 0.9 * desk.terms.lines_waiting_most
                             : cost <= allowance && waiting + cost <= 0.4 * desk.terms.lines_waiting_most;
        };
        for (const Change& change : changes) {
            if (!fits(change.rank)) break;
            write(change.table, change.server, *change.line);
            lines += 1;
        }
        for (std::size_t m = 0; m < wanted_levels.size(); ++m) {
            const double wanted = wanted_levels[m], sent = sent_levels[m];
            const bool same = std::abs(wanted - sent) <= kLevelWorthSending && (wanted < 1 || sent >= 1);
            if (same || !fits(1)) continue;
            sent_levels[m] = wanted;
            desk.orders.push_back(order::SetLevel{{}, {MethodId{static_cast<int>(m)}}, wanted, kFurther});
            lines += 1;
        }
        if (lines == 0) return;
        const double cost = (kDesignHead + lines + static_cast<double>(sent_levels.size())) * bound;
        waiting += cost;
        allowance -= std::min(allowance, cost);
        for (auto& [id, proxy] : proxies) proxy.messages.push_back(desk.now);
    }

    void bind_joining() {
        for (const ProxyId id : std::exchange(joining, {})) {
            const auto proxy = proxies.find(id);
            if (proxy == proxies.end()) continue;
            for (const Binding& binding : bindings) {
                if (binding.zone && *binding.zone != proxy->second.zone) continue;
                desk.orders.push_back(order::Bind{binding.table, binding.methods, id});
                waiting += 1 + static_cast<double>(tables[binding.table].size());
            }
            waiting += desk.terms.lines_per_message + static_cast<double>(sent_levels.size());
            if (proxy->second.messages.empty() || proxy->second.messages.back() != desk.now) {
                proxy->second.messages.push_back(desk.now);
            }
        }
        for (auto& [table, lines] : tables) {
            std::erase_if(lines, [](const auto& entry) { return entry.second.wanted == 0 && entry.second.sent == 0; });
        }
    }
};

// ---- Slices --------------------------------------------------------------------------------------------------

// Mechanism 6. Keeps the rules where keys fall into slices, and no more: a slice stays with its owner until that
// one drains or is gone. A single owner's successor is named only when no write can still be with the former
// one: a message's longest way, then the proxies' lease, then a write's life.
struct SliceKeeper : Part {
    struct Slice {
        std::map<ServerId, double> owners;
        Instant free_from{};  // no successor before
    };

    Desk& desk;
    Part& channel;
    std::map<TableId, Slice> slices;
    std::map<ServerId, Standing> servers;

    SliceKeeper(Desk& desk, Part& channel) : desk(desk), channel(channel) {}

    void on(const event::SliceGiven& note) {
        channel.inbox.push_back(note);
        slices.erase(note.slice);
        if (!note.ours) return;
        slices[note.slice].free_from = free_from();
        review_at(desk.now);
    }
    void on(const event::SliceOwner& note) {
        const auto slice = slices.find(note.slice);
        if (slice == slices.end()) return;
        slice->second.owners[note.server] = note.weight;
        channel.inbox.push_back(note);
    }
    void on(const Standing& note) {
        servers[note.entry.server] = note;
        if (!slices.empty()) review_at(desk.now);
    }
    void on(const Pulse&) {
        for (auto& [id, slice] : slices) {
            std::erase_if(slice.owners, [&](const auto& owner) {
                const auto server = servers.find(owner.first);
                if (server != servers.end() && server->second.open) return false;
                channel.inbox.push_back(Wish{id, owner.first, 0, true});
                slice.free_from = std::max(slice.free_from, free_from());
                return true;
            });
            if (!slice.owners.empty()) continue;
            if (desk.now < slice.free_from) {
                review_at(slice.free_from);
            } else if (const auto next = least_laden()) {
                slice.owners[*next] = 1;
                channel.inbox.push_back(Wish{id, *next, 1, true});
            }
        }
    }

   private:
    Instant free_from() const {
        const Terms& terms = desk.terms;
        return terms.single_owner ? desk.now + 2 * terms.message_longest + terms.owner_lease + terms.write_life
                                  : desk.now;
    }
    void review_at(Instant when) {
        if (when <= desk.now) return inbox.push_back(Pulse{});
        desk.agenda.emplace(when, std::pair<Part*, Note>{this, Pulse{}});
    }
    std::optional<ServerId> least_laden() const {
        std::map<ServerId, int> laden;
        for (const auto& [id, server] : servers) if (server.open) laden[id] = server.fresh ? 1'000'000 : 0;
        for (const auto& [id, slice] : slices) {
            for (const auto& [owner, weight] : slice.owners) if (laden.contains(owner)) ++laden[owner];
        }
        const auto least = std::min_element(laden.begin(), laden.end(),
                                            [](const auto& a, const auto& b) { return a.second < b.second; });
        return least == laden.end() ? std::nullopt : std::optional(least->first);
    }
};

}  // namespace

// ---- The prediction ------------------------------------------------------------------------------------------

// Queues and tail as M/M/1 has them. The design clamps u at 0.95; past it the queue goes on along its tangent and
// the spare capacity fades towards none, as a flat prediction has no slope just where it matters.
Prospect look_ahead(std::span<const ServerLoad> servers, TailTerm tail) {
    constexpr double kClamp = 0.95;
    Prospect ahead;
    double total = 0, slowest = 1e300;
    std::vector<double> spare, fading;  // spare capacity, and how fast it falls as the rate grows
    for (const auto& [rate, capacity] : servers) {
        const double u = rate / capacity;
        const double v = std::min(u, kClamp);
        const double slope = 1 / ((1 - v) * (1 - v));
        ahead.cost += v / (1 - v) + (u - v) * slope;
        ahead.slope.push_back(slope / capacity);
        fading.push_back(std::exp(-(u - v) / (1 - kClamp)));
        spare.push_back(capacity * (1 - v) * fading.back());
        total += rate;
        slowest = std::min(slowest, spare.back());
    }
    if (total <= 0) return ahead;
    const auto unanswered = [&](std::size_t i, double t) { return servers[i].rate / total * std::exp(-spare[i] * t); };
    double low = 0, high = 3.0 / slowest;  // e^-3 is under 0.05
    for (int round = 0; round < 60; ++round) {
        const double t = (low + high) / 2;
        double sum = 0;
        for (std::size_t i = 0; i < servers.size(); ++i) sum += unanswered(i, t);
        (sum > 0.05 ? low : high) = t;
    }
    const double t = ahead.p95 = (low + high) / 2;
    double falling = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) falling += spare[i] * unanswered(i, t);
    ahead.cost += tail.factor * t / tail.limit;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const double raise = (std::exp(-spare[i] * t) - 0.05) / total + fading[i] * t * unanswered(i, t);
        ahead.slope[i] += tail.factor / tail.limit * raise / falling;
    }
    return ahead;
}

// ---- The planner: events to notes, one loop, one timer -------------------------------------------------------

class Planner::Impl {
   public:
    Impl(Terms terms, std::uint64_t seed)
        : desk_{std::move(terms), std::minstd_rand(static_cast<std::minstd_rand::result_type>(seed)), {}, {}, {}} {}

    void hear(Event event) {
        std::visit([this](auto& e) { take(e); }, event);
    }

    std::vector<Order> decide(Instant now) {
        desk_.now = now;
        if (!started_) {
            started_ = true;
            desk_.orders.push_back(order::StartTimer{kTimer, kTick});
            if (desk_.terms.must_subscribe) desk_.orders.push_back(order::Subscribe{true});
        }
        for (Event& event : std::exchange(heard_, {})) std::visit([this](auto& e) { apply(e); }, event);
        while (!desk_.agenda.empty() && desk_.agenda.begin()->first <= now) {
            auto [part, note] = std::move(desk_.agenda.begin()->second);
            desk_.agenda.erase(desk_.agenda.begin());
            part->inbox.push_back(std::move(note));
        }
        run();
        channel_.inbox.push_back(Pulse{});
        run();
        return std::exchange(desk_.orders, {});
    }

   private:
    static constexpr TimerId kTimer{1};
    static constexpr Span kTick = std::chrono::milliseconds(100);  // short beside a message's way

    template <class Any>
    void take(Any& event) { heard_.push_back(std::move(event)); }

    Server& server(const ServerId& id) {
        return servers_.try_emplace(id, desk_, weigher_, keeper_).first->second;
    }

    void apply(event::List& list) {
        using Form = event::List::Form;
        if (list.form == Form::unavailable) {
            // A broken subscription is asked for anew, after a wait that instances do not share.
            if (desk_.terms.must_subscribe) {
                const auto wait = Span{std::uniform_int_distribution<int>(2'000, 10'000)(desk_.chance)};
                subscribe_at_ = desk_.now + wait;
            }
            return;
        }
        std::set<ServerId> named;
        for (const ListedServer& entry : list.servers) {
            if (entry.server.value.empty()) continue;
            named.insert(entry.server);
            if (entry.phase == Phase::gone && !servers_.contains(entry.server)) continue;
            server(entry.server).inbox.push_back(Listed{entry});
        }
        if (list.form == Form::changes) return;
        for (auto& [id, actor] : servers_) if (!named.contains(id)) actor.inbox.push_back(Unlisted{});
    }
    void apply(event::TimerDue& due) {
        if (due.timer != kTimer) return;
        desk_.orders.push_back(order::StartTimer{kTimer, kTick});
        if (subscribe_at_ && *subscribe_at_ <= desk_.now) {
            subscribe_at_.reset();
            desk_.orders.push_back(order::Subscribe{true});
        }
        if (desk_.now < next_step_) return;
        next_step_ = desk_.now + Server::kStep;
        gate_.inbox.push_back(Beat{});
        for (auto& [id, actor] : servers_) actor.inbox.push_back(Beat{});
        desk_.agenda.emplace(desk_.now + kTick, std::pair<Part*, Note>{&weigher_, Step{}});
    }
    void apply(event::ProxyJoined& joined) { channel_.inbox.push_back(joined); }
    void apply(event::ProxyLeft& left) { channel_.inbox.push_back(left); }
    void apply(event::Outcomes& met) {
        const auto at = servers_.find(met.server);
        if (at == servers_.end() || !counts(met.tries, met.bad) || met.mean < Span{} || met.over <= Span{}) return;
        at->second.inbox.push_back(Met{met.tries, std::min(met.bad, met.tries), met.mean, met.over});
    }
    void apply(event::Arrivals& came) {
        const auto methods = static_cast<int>(desk_.terms.methods.size());
        if (came.method.value < 0 || came.method.value >= methods || !counts(came.count, came.unanswered)) return;
        gate_.inbox.push_back(came);
    }
    void apply(event::SliceGiven& given) { keeper_.inbox.push_back(given); }
    void apply(event::SliceOwner& owner) { keeper_.inbox.push_back(owner); }
    // Not acted on.
    void apply(event::SliceArrivals&) {}
    void apply(event::MarkApplied&) {}
    void apply(event::Probed&) {}
    void apply(event::PeerSaid&) {}

    static bool counts(double all, double part) {
        return std::isfinite(all) && std::isfinite(part) && all > 0 && part >= 0;
    }

    // The one loop: each note to the part in whose inbox it lies, until all are empty.
    void run() {
        const auto empty = [](auto& part) {
            bool any = false;
            while (!part.inbox.empty()) {
                Note note = std::move(part.inbox.front());
                part.inbox.pop_front();
                any = true;
                std::visit([&part](auto& body) { if constexpr (requires { part.on(body); }) part.on(body); }, note);
            }
            return any;
        };
        for (bool busy = true; busy;) {
            busy = false;
            for (auto& [id, actor] : servers_) busy |= empty(actor);
            busy |= empty(keeper_);
            busy |= empty(gate_);
            busy |= empty(weigher_);
            busy |= empty(channel_);
        }
    }

    Desk desk_;
    bool started_ = false;
    Instant next_step_{};
    std::optional<Instant> subscribe_at_;
    std::vector<Event> heard_;
    Channel channel_{desk_};
    Gate gate_{desk_, weigher_, channel_};
    Weigher weigher_{desk_, channel_, gate_};
    SliceKeeper keeper_{desk_, channel_};
    std::map<ServerId, Server> servers_;
};

Planner::Planner(Terms terms, std::uint64_t seed) : impl_(std::make_unique<Impl>(std::move(terms), seed)) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;
void Planner::hear(Event event) { impl_->hear(std::move(event)); }
std::vector<Order> Planner::decide(Instant now) { return impl_->decide(now); }

}  // namespace micaroad
