// micaroad's decisions, all of them.
//
// How to call it: see include/micaroad/planner.hpp, its interface. Events are heard; decide() empties every
// inbox and hands back the orders. docs/design.md gives the reasons.
//
// The ordinary path is the design's: a softmax weight for each server and pool, bounded gradient steps on the
// queues and the tail that an M/M/1 model predicts, one shared table a pool, largest changes first.
// Beside it stand six mechanisms:
//   1. failures and owed answers count as late answers  (Weigher::weigh_evidence)
//   2. a fresh server's share is eased                  (Weigher::ceiling)
//   3. levels when the whole fleet is late              (Gate)
//   4. further tries only on proof                      (Channel::kFurther)
//   5. tables bound on joining, drains before budgets   (Channel)
//   6. slices and their owners                          (SliceKeeper)
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

// Where a falling function crosses a level.
template <class Falling>
double crossing(double low, double high, double level, Falling value) {
    for (int i = 0; i < 50; ++i) (value((low + high) / 2) > level ? low : high) = (low + high) / 2;
    return low;
}

// The design starts at 5 s; half of it follows troubles and still sees several RPCs a server.
constexpr Span kStepEvery = std::chrono::milliseconds(2500);
// At each step what was heard before it counts half: one step alone sees too few RPCs to tell speeds apart.
constexpr double kMemory = 0.5;

// ---- Notes: what the parts put into each other's inboxes -------------------------------------------------
// clang-format off

struct Listed { ListedServer entry; };
struct Unlisted {};  // a complete list without it
struct Beat {};      // a step's evidence is complete
struct Step {};      // time to move the weights
struct Pulse {};     // look again at what is waiting
struct Resubscribe {};
struct Standing {    // a server, as it sees itself
    ListedServer entry;
    bool open = false, fresh = false;
    int beats = 0;  // since its start became known
    double tries = 0, bad = 0, answer_seconds = 0, window = 0;
};
struct Wish { TableId table; ServerId server; double share; bool urgent; };
struct Binding { TableId table; std::vector<MethodId> methods; std::optional<ZoneId> zone; };
struct Strain { double answer, soft_deadline; };     // of the median server, seconds
struct Demand { std::vector<double> rates; };        // RPCs a second let in, by method
struct Levels { std::vector<double> amounts; };      // by method

using Note = std::variant<Listed, Unlisted, Beat, Step, Pulse, Resubscribe, Standing, Wish, Binding, Strain,
                          Demand, Levels, event::Outcomes, event::ProxyJoined, event::ProxyLeft,
                          event::Arrivals, event::SliceGiven, event::SliceOwner>;
// clang-format on

struct Part {
    std::deque<Note> inbox;
};

// What every part may look at.
struct Desk {
    const Terms terms;
    std::minstd_rand chance;
    Instant now{};
    std::vector<Order> orders{};
    std::multimap<Instant, std::pair<Part*, Note>> agenda{};  // every due time but the periodic one
};

// ---- A server --------------------------------------------------------------------------------------------

struct Server : Part {
    Desk& desk;
    Part &weigher, &keeper;
    Standing self{};

    void on(const Listed& note) {
        const bool known = !self.entry.server.value.empty();
        const bool restarted = note.entry.last_start && note.entry.last_start != self.entry.last_start;
        const bool was_open = self.open;
        if (restarted) self = Standing{};
        self.entry = note.entry;
        if (!std::isfinite(self.entry.size) || self.entry.size <= 0) self.entry.size = 1;
        self.open = self.entry.phase == Phase::ready;
        if (!known || restarted || was_open != self.open) tell();
    }

    void on(const Unlisted&) {
        if (!std::exchange(self.open, false)) return;
        self.entry.phase = Phase::gone;
        tell();
    }

    void on(const event::Outcomes& met) {
        // Guards against reports of the life before a restart; it costs but a little evidence.
        if (!self.open || (self.entry.last_start && desk.now - met.over < *self.entry.last_start)) return;
        const double bad = std::min(met.bad, met.tries);
        self.tries += met.tries;
        self.bad += bad;
        self.answer_seconds += (met.tries - bad) * seconds(met.mean);
    }

    void on(const Beat&) {
        ++self.beats;
        self.window += seconds(kStepEvery);
        tell();
        for (double* sum : {&self.tries, &self.bad, &self.answer_seconds, &self.window}) *sum *= kMemory;
    }

    void tell() {
        self.fresh = self.entry.last_start && desk.now - *self.entry.last_start < desk.terms.warm_after;
        weigher.inbox.push_back(self);
        keeper.inbox.push_back(self);
    }
};

// ---- The design: weights, cost, steps --------------------------------------------------------------------

struct Weigher : Part {
    struct Member {
        Standing seen;
        std::vector<double> weight, share, owing;  // by pool; owing: the share that must have brought tries
        double rate = 0, answer = 0;  // as judged at the last step; RPCs a second, seconds
    };
    struct Pool {
        Binding binding;
        Method like;  // its first method: all of a pool are open to the same servers
        double rate = 1;
    };
    using Members = std::vector<Member*>;
    using Shares = std::vector<std::vector<double>>;  // by pool, by open server

    Desk& desk;
    Part &channel, &gate;
    std::vector<Pool> pools;
    std::map<ServerId, Member> members;
    bool changed = false;
    double limit = 0;          // seconds, for the tail; 0 until an answer was heard
    double load_per_rate = 1;  // tries heard of for each RPC that the pools' rates promise

    Weigher(Desk& desk, Part& channel, Part& gate) : desk(desk), channel(channel), gate(gate) {
        if (desk.terms.slices > 0) return;
        for (int m = 0; m < std::ssize(desk.terms.methods); ++m) {
            const Method& method = desk.terms.methods[m];
            for (int zone = 0; zone < (method.own_zone_only ? desk.terms.zones : 1); ++zone) {
                const std::optional home{method.own_zone_only ? std::optional{ZoneId{zone}} : std::nullopt};
                auto pool = std::find_if(pools.begin(), pools.end(), [&](const Pool& p) {
                    return p.like.only_kinds == method.only_kinds && p.like.only_zones == method.only_zones &&
                           p.binding.zone == home;
                });
                if (pool == pools.end()) {
                    const TableId table{static_cast<int>(pools.size()) + 1};
                    pool = pools.insert(pools.end(), {{table, {}, home}, method, 0});
                }
                pool->binding.methods.push_back(MethodId{m});
                pool->rate += 1;
            }
        }
        for (const Pool& pool : pools) channel.inbox.push_back(pool.binding);
    }

    void on(const Standing& note) {
        auto [at, added] = members.try_emplace(note.entry.server);
        Member& member = at->second;
        for (auto* by_pool : {&member.weight, &member.share, &member.owing}) by_pool->resize(pools.size());
        const bool entering = note.open && !member.seen.open;
        changed |= added || note.open != member.seen.open || note.beats < member.seen.beats;
        member.seen = note;
        for (std::size_t k = 0; k < pools.size() && entering; ++k) member.weight[k] = entry_weight(k, note);
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
        const Members open = open_members();
        if (!weigh_evidence(open)) return publish(false);
        const Shares stay = shares(open, 0, {});
        // Past twice the limit the tail is all of the cost anyway, and a larger factor says nothing more.
        const double lateness = std::min(look_ahead(loads(open, stay), {}).p95 / limit, 2.0);
        const TailTerm tail{5 * std::exp(10 * (lateness - 1)), limit};
        const Prospect here = look_ahead(loads(open, stay), tail);

        Shares downhill = stay;  // how far a weight goes in a whole step
        const double scale = kStepScale * std::ssize(open) / std::max(here.cost, 1e-9) * load_per_rate;
        for (std::size_t k = 0; k < pools.size(); ++k) {
            const double mean = std::inner_product(stay[k].begin(), stay[k].end(), here.slope.begin(), 0.0);
            for (std::size_t i = 0; i < open.size(); ++i) {
                downhill[k][i] = scale * pools[k].rate * stay[k][i] * (here.slope[i] - mean);
            }
        }
        const auto moved = [&](double c) {
            const Shares share = shares(open, c, downhill);
            double sum = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                for (std::size_t i = 0; i < open.size(); ++i) sum += std::pow(share[k][i] - stay[k][i], 2);
            }
            return std::sqrt(sum);
        };
        const auto cost = [&](double c) {
            return look_ahead(loads(open, shares(open, c, downhill)), tail).cost;
        };
        double c = moved(1) <= kMostMove ? 1 : crossing(0, 1, -kMostMove, [&](double x) { return -moved(x); });
        // A step within the bound can still overshoot what the model says is best along it: halved until not.
        double best = cost(c);
        for (double half; c > 1e-3 && (half = cost(c / 2)) < best; c /= 2) best = half;
        for (std::size_t k = 0; k < pools.size() && here.cost - best > kLeastGain * here.cost; ++k) {
            double top = -1e300;
            for (std::size_t i = 0; i < open.size(); ++i) {
                open[i]->weight[k] -= c * downhill[k][i];
                if (serves(pools[k], open[i]->seen)) top = std::max(top, open[i]->weight[k]);
            }
            for (Member* m : open) m->weight[k] = std::max(m->weight[k], top + std::log(kFloor));
        }
        publish(false);
    }

   private:
    static constexpr double kMostMove = 0.15;  // the design's
    // The design's 0.5, on the gradient of the cost's logarithm a server: a pool's size and traffic do not set
    // how fast it learns.
    static constexpr double kStepScale = 0.5;
    // The design starts at a tenth; one slow server of twenty costs less than that and is worth a step.
    static constexpr double kLeastGain = 0.01;
    // No learnt share is under this part of the largest: what is never tried can't be seen to have recovered.
    static constexpr double kFloor = 0.02;
    // The design counts an unheard server as the pool's mean; here so many RPCs of evidence weigh as much as the
    // mean answer of its kind: answers vary about threefold more than servers of a kind do.
    static constexpr double kDoubt = 10;

    Members open_members() {
        Members open;
        for (auto& [id, member] : members) if (member.seen.open) open.push_back(&member);
        return open;
    }

    static bool serves(const Pool& pool, const Standing& server) {
        const auto among = [](const auto& only, const auto& id) {
            return only.empty() || std::find(only.begin(), only.end(), id) != only.end();
        };
        return server.open && among(pool.like.only_kinds, server.entry.kind) &&
               among(pool.like.only_zones, server.entry.zone) &&
               (!pool.binding.zone || *pool.binding.zone == server.entry.zone);
    }

    // A server enters at its listed weight beside what the others have learnt.
    double entry_weight(std::size_t k, const Standing& entering) const {
        double sum = 0, count = 0;
        for (const auto& [id, member] : members) {
            if (id == entering.entry.server || !serves(pools[k], member.seen)) continue;
            sum += member.weight[k] - std::log(member.seen.entry.size);
            count += 1;
        }
        return std::log(entering.entry.size) + (count > 0 ? sum / count : 0);
    }

    // Mechanism 1. Guards against a server that fails fast (looks idle), hangs (has no answer time) or can't
    // be reached: a failed try counts as an answer at twice the tail's limit, and tries that a server's share
    // owes but that never ended count as failed. It should answer whatever makes answers fail or stay away. It
    // could harm where few RPCs come, as chance then looks like silence: hence three deviations.
    bool weigh_evidence(const Members& open) {
        std::vector<double> means;
        double tries = 0, window = 0, rate = 0, counted = 0;
        for (const Member* m : open) {
            tries += m->seen.tries;
            window = std::max(window, m->seen.window);
            const double ok = m->seen.tries - m->seen.bad;
            if (ok > 0) means.push_back(m->seen.answer_seconds / ok);
        }
        if (means.empty()) return false;
        if (limit == 0) {
            std::nth_element(means.begin(), means.begin() + means.size() / 2, means.end());
            Span soonest = Span::max();
            for (const Method& method : desk.terms.methods) soonest = std::min(soonest, method.soft_deadline);
            limit = std::max(2 * means[means.size() / 2], seconds(soonest));
        }
        for (const Pool& pool : pools) rate += pool.rate;
        const double mean = std::accumulate(means.begin(), means.end(), 0.0) / std::ssize(means);
        std::map<KindId, std::pair<double, double>> kinds;  // seconds of ok answers, and how many
        for (Member* m : open) {
            double expected = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                expected += pools[k].rate / rate * m->owing[k] * tries;
            }
            const bool silent = m->seen.tries < expected - 3 * std::sqrt(expected);
            const double owed = silent ? expected - m->seen.tries : 0;
            m->rate = m->seen.tries + owed;
            m->answer = m->seen.answer_seconds + (m->seen.bad + owed) * 2 * limit;
            auto& [ok_seconds, ok] = kinds[m->seen.entry.kind];
            ok_seconds += m->seen.answer_seconds + kDoubt * mean;
            ok += m->seen.tries - m->seen.bad + kDoubt;
            counted += m->rate;
        }
        std::vector<std::pair<double, double>> by_answer;
        for (Member* m : open) {
            const auto& [ok_seconds, ok] = kinds[m->seen.entry.kind];
            m->answer = (m->answer + kDoubt * ok_seconds / ok) / (m->rate + kDoubt);
            m->rate /= window;
            by_answer.emplace_back(m->answer, m->rate);
        }
        load_per_rate = counted / window / rate;
        std::sort(by_answer.begin(), by_answer.end());
        double rest = counted / window / 2;  // the median by load
        for (const auto& [answer, load] : by_answer) {
            if ((rest -= load) > 0) continue;
            gate.inbox.push_back(Strain{answer, limit});
            break;
        }
        return true;
    }

    // Mechanism 2. The design starts a fresh server at a quarter of its listed share; here at half of the part
    // of its capacity that it is told to start with, as further tries can double what a busy fleet sends. It
    // doubles every other step, for as long as the server may be cold.
    double ceiling(const Standing& server) const {
        if (!server.fresh) return 1e300;
        return std::min(1.0, desk.terms.cold_capacity / 2 * std::pow(2.0, std::min(server.beats / 2, 10)));
    }

    // Softmax over the servers that a pool is open to, after a part of a step; no fresh one above its ceiling
    // while others have room.
    Shares shares(const Members& open, double c, const Shares& downhill) const {
        Shares all(pools.size(), std::vector<double>(open.size()));
        for (std::size_t k = 0; k < pools.size(); ++k) {
            std::vector<double>& share = all[k];
            double top = -1e300, sum = 0, size = 0, held = 0;
            const auto weight = [&](std::size_t i) {
                return open[i]->weight[k] - (downhill.empty() ? 0 : c * downhill[k][i]);
            };
            for (std::size_t i = 0; i < open.size(); ++i) {
                if (!serves(pools[k], open[i]->seen)) continue;
                top = std::max(top, weight(i));
                size += open[i]->seen.entry.size;
            }
            for (std::size_t i = 0; i < open.size(); ++i) {
                if (serves(pools[k], open[i]->seen)) sum += share[i] = std::exp(weight(i) - top);
            }
            double free = 0;
            for (std::size_t i = 0; i < open.size() && sum > 0; ++i) {
                const double most = ceiling(open[i]->seen) * open[i]->seen.entry.size / size;
                share[i] = std::min(share[i] / sum, most);
                (open[i]->seen.fresh ? held : free) += share[i];
            }
            for (std::size_t i = 0; i < open.size() && sum > 0; ++i) {
                if (free <= 0) share[i] /= held;
                else if (!open[i]->seen.fresh) share[i] *= (1 - held) / free;
            }
        }
        return all;
    }

    std::vector<ServerLoad> loads(const Members& open, const Shares& then) const {
        std::vector<ServerLoad> loads;
        for (std::size_t i = 0; i < open.size(); ++i) {
            double more = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) {
                more += pools[k].rate * (then[k][i] - open[i]->share[k]) * load_per_rate;
            }
            loads.push_back({std::max(open[i]->rate + more, 0.0), open[i]->rate + 1 / open[i]->answer});
        }
        return loads;
    }

    void publish(bool urgent) {
        const Members open = open_members();
        const Shares share = shares(open, 0, {});
        for (std::size_t k = 0; k < pools.size(); ++k) {
            for (auto& [id, member] : members) member.share[k] = 0;
            for (std::size_t i = 0; i < open.size(); ++i) {
                open[i]->share[k] = share[k][i];
                // What was ordered a step ago shows in the reports only now; a growing share owes less yet.
                open[i]->owing[k] = std::min(share[k][i], open[i]->owing[k] * 1.2 + share[k][i] * 0.3);
            }
            for (auto& [id, member] : members) {
                const bool pressing = urgent && (member.share[k] == 0 || member.seen.fresh);
                channel.inbox.push_back(Wish{pools[k].binding.table, id, member.share[k], pressing});
            }
        }
        std::erase_if(members, [](const auto& m) { return m.second.seen.entry.phase == Phase::gone; });
    }
};

// ---- Levels ----------------------------------------------------------------------------------------------

// Mechanism 3. Guards against a fleet that is late as a whole, whatever the cause: when the median server
// answers later than a part of the soft deadline, what is let in falls well under what the fleet can bear, so that
// queues drain, and once answers are early again it goes back to a little less than what was too much. It should answer overload, shared slowness and retry storms. It could harm where
// RPCs are late for a reason that load does not change; the floor keeps part of them coming.
struct Gate : Part {
    Desk& desk;
    Part &weigher, &channel;
    std::vector<double> came = std::vector<double>(desk.terms.methods.size());  // RPCs, older ones fading
    std::vector<double> level = std::vector<double>(came.size(), 1.0);
    double window = 0, let_in = 1;
    double bearable = 1;  // what the fleet is held to bear once its queues are short again
    int settled = 0;  // steps since the last cut

    void on(const event::Arrivals& note) { came[note.method.value] += note.count; }

    void on(const Beat&) {
        window += seconds(kStepEvery);
        Demand demand;
        for (std::size_t m = 0; m < came.size(); ++m) demand.rates.push_back(came[m] / window * level[m]);
        weigher.inbox.push_back(demand);
        window *= kMemory;
        for (double& count : came) count *= kMemory;
    }

    void on(const Strain& note) {
        const double aim = kAim * note.soft_deadline;
        if (note.answer > aim && ++settled > kSettle) {
            if (let_in >= 0.95 * bearable) bearable *= kBackOff;
            let_in = std::max(bearable * std::max(aim / note.answer, 0.5), kLeastLetIn);
            settled = 0;
        } else if (note.answer < 0.75 * aim) {
            bearable = std::min(1.0, bearable * 1.06);
            let_in = std::min(bearable, let_in * 1.5);
        }
        share_out();
    }

   private:
    static constexpr double kAim = 0.7;  // a mean so late puts a quarter of exponential answers past it
    static constexpr double kLeastLetIn = 0.3, kBackOff = 0.85;
    static constexpr int kSettle = 1;  // the next reports still show RPCs let in before the cut

    // Least criticality first, or all methods alike: whichever keeps more of the goal.
    void share_out() {
        const auto& methods = desk.terms.methods;
        std::vector<std::size_t> order(methods.size());
        std::iota(order.begin(), order.end(), 0u);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return methods[a].criticality < methods[b].criticality;
        });
        const std::vector<double> alike(methods.size(), let_in);
        std::vector<double> ranked(methods.size(), 1.0);
        double spare = (1 - let_in) * std::accumulate(came.begin(), came.end(), 0.0);
        for (const std::size_t m : order) {
            const double cut = std::min(spare, came[m]);
            if (came[m] > 0) ranked[m] = 1 - cut / came[m];
            spare -= cut;
        }
        const auto goal = [&](const std::vector<double>& levels) {
            double kept = 0, asked = 1e-9, worst = 1;
            for (std::size_t m = 0; m < methods.size(); ++m) {
                kept += methods[m].criticality * came[m] * levels[m];
                asked += methods[m].criticality * came[m];
                worst = std::min(worst, levels[m]);
            }
            return desk.terms.whole_weight * kept / asked + desk.terms.worst_method_weight * worst;
        };
        level = goal(ranked) > goal(alike) ? ranked : alike;
        Levels levels{level};
        for (std::size_t m = 0; m < level.size() && desk.terms.levels == LevelKind::rate; ++m) {
            levels.amounts[m] *= level[m] < 1 ? came[m] / std::max(window, 0.1) / desk.terms.proxies : 1e6;
        }
        channel.inbox.push_back(levels);
    }
};

// ---- The channel: what goes to the proxies, and when -----------------------------------------------------

// Mechanism 5. Guards against tables that outlive what they say: drains, fresh servers and joining proxies go
// out at once and ahead of the budget, up to the rule's limits; all else waits its turn, merged.
struct Channel : Part {
    // Mechanism 4. A further try only after proof that the first never ran: no effect can come twice, whatever
    // the method, and a busy fleet is not sent the same work twice.
    static constexpr FurtherTry kFurther = FurtherTry::once_if_never_ran;
    struct Line {
        double wanted = 0, sent = 0;
        bool urgent = false;
    };
    struct Proxy {
        ZoneId zone;
        bool bound = false;
        std::deque<Instant> messages{};
    };

    Desk& desk;
    std::vector<Binding> bindings{};
    std::map<TableId, std::map<ServerId, Line>> tables{};
    std::map<ProxyId, Proxy> proxies{};
    std::vector<double> wanted_levels = std::vector<double>(desk.terms.methods.size(), 1.0);
    // Where proxies do not try so by themselves, the first level tells them.
    std::vector<double> sent_levels =
        std::vector<double>(wanted_levels.size(), desk.terms.further_tries == kFurther ? 1.0 : 0.0);
    double waiting = 0;    // lines, as if the channel ran at a part of its pace
    double allowance = 0;  // lines that ordinary changes may use
    Instant counted{};

    void on(const Resubscribe&) { desk.orders.push_back(order::Subscribe{true}); }
    void on(const Binding& note) { bindings.push_back(note); }
    void on(const Levels& note) { wanted_levels = note.amounts; }
    void on(const event::ProxyJoined& note) { proxies[note.proxy] = Proxy{note.zone}; }
    void on(const event::ProxyLeft& note) { proxies.erase(note.proxy); }
    void on(const Wish& note) {
        Line& line = tables[note.table][note.server];
        line.wanted = note.share;
        line.urgent |= note.urgent;
    }
    // A slice's line as the store has it was sent, by whoever had the slice before.
    void on(const event::SliceOwner& note) { tables[note.slice][note.server] = {note.weight, note.weight}; }
    void on(const event::SliceGiven& note) { tables.erase(note.slice); }

    void on(const Pulse&) {
        const double passed = seconds(desk.now - std::exchange(counted, desk.now));
        const double pace = desk.terms.lines_per_second;
        waiting = std::max(0.0, waiting - kSurePace * pace * passed);
        allowance = std::min(allowance + pace / 2 * passed, pace * 2);
        send_changes();
        bind_joined();
        for (auto& [table, lines] : tables) {
            std::erase_if(lines, [](const auto& line) { return line.second.wanted + line.second.sent == 0; });
        }
    }

   private:
    static constexpr double kSurePace = 0.6;           // a channel may run slower than told
    static constexpr double kWorthSending = 0.1;       // the design's: share changes over a tenth go out
    static constexpr double kLevelWorthSending = 0.03;  // a level bears on all RPCs at once
    static constexpr double kDesignHead = 6;           // the design counts a message so

    bool may_write(bool urgent) {
        if (desk.terms.messages_most <= 0) return true;
        const int most = urgent ? desk.terms.messages_most - 1 : desk.terms.messages_most / 2;
        return std::all_of(proxies.begin(), proxies.end(), [&](auto& entry) {
            std::deque<Instant>& times = entry.second.messages;
            while (!times.empty() && desk.now - times.front() >= desk.terms.messages_span) times.pop_front();
            return std::ssize(times) < most;
        });
    }

    void send_changes() {
        std::vector<std::tuple<int, double, TableId, ServerId, Line*>> changes;  // rank, largest first
        for (auto& [table, lines] : tables) {
            const bool bare = std::none_of(lines.begin(), lines.end(), [](const auto& entry) {
                return entry.second.sent > 0 && entry.second.wanted > 0;
            });
            for (auto& [server, line] : lines) {
                const double size = std::abs(line.wanted - line.sent);
                const bool both = line.wanted > 0 && line.sent > 0;
                if (line.wanted == line.sent || (both && size <= kWorthSending * line.sent)) continue;
                const bool urgent = line.wanted == 0 || (line.urgent && line.wanted < line.sent) || bare;
                changes.emplace_back(urgent ? 0 : 1, -size, table, server, &line);
            }
        }
        std::sort(changes.begin(), changes.end());
        if (!may_write(!changes.empty() && std::get<0>(changes.front()) == 0)) return;
        const double bound = static_cast<double>(proxies.size());
        double lines = 0;
        const auto fits = [&](int rank) {
            const double cost = (kDesignHead + lines + 1) * bound;
            return waiting + cost <= (rank == 0 ? 0.9 : 0.4) * desk.terms.lines_waiting_most &&
                   (rank == 0 || cost <= allowance || bound == 0);
        };
        for (const auto& [rank, size, table, server, line] : changes) {
            if (!fits(rank)) break;
            desk.orders.push_back(order::SetLine{table, server, line->wanted});
            *line = {line->wanted, line->wanted};
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
        allowance = std::max(0.0, allowance - cost);
        for (auto& [id, proxy] : proxies) proxy.messages.push_back(desk.now);
    }

    void bind_joined() {
        for (auto& [id, proxy] : proxies) {
            if (std::exchange(proxy.bound, true) || bindings.empty()) continue;
            for (const Binding& binding : bindings) {
                if (binding.zone && *binding.zone != proxy.zone) continue;
                desk.orders.push_back(order::Bind{binding.table, binding.methods, id});
                waiting += 1 + static_cast<double>(tables[binding.table].size());
            }
            waiting += desk.terms.lines_per_message + static_cast<double>(sent_levels.size());
            proxy.messages.push_back(desk.now);
        }
    }
};

// ---- Slices ----------------------------------------------------------------------------------------------

// Mechanism 6. Keeps the rules where keys fall into slices, and no more: a slice stays with its owner until
// that one drains or is gone. A single owner's successor is named only when no write can still be with the
// former one: after a message's longest way, the proxies' lease and a write's life.
struct SliceKeeper : Part {
    struct Slice {
        std::set<ServerId> owners;
        Instant free_from{};  // no successor before
    };

    Desk& desk;
    Part& channel;
    std::map<TableId, Slice> slices{};
    std::map<ServerId, Standing> servers{};

    void on(const event::SliceGiven& note) {
        channel.inbox.push_back(note);
        slices.erase(note.slice);
        if (!note.ours) return;
        slices[note.slice].free_from = free_from();
        inbox.push_back(Pulse{});
    }
    void on(const event::SliceOwner& note) {
        if (!slices.contains(note.slice)) return;
        slices[note.slice].owners.insert(note.server);
        channel.inbox.push_back(note);
    }
    void on(const Standing& note) {
        servers[note.entry.server] = note;
        if (!slices.empty()) inbox.push_back(Pulse{});
    }
    void on(const Pulse&) {
        for (auto& [id, slice] : slices) {
            std::erase_if(slice.owners, [&, id = id, &slice = slice](const ServerId& owner) {
                if (servers[owner].open) return false;
                channel.inbox.push_back(Wish{id, owner, 0, true});
                slice.free_from = std::max(slice.free_from, free_from());
                return true;
            });
            if (!slice.owners.empty()) continue;
            if (desk.now < slice.free_from) {
                desk.agenda.emplace(slice.free_from, std::pair<Part*, Note>{this, Pulse{}});
            } else if (const ServerId* next = least_laden()) {
                slice.owners.insert(*next);
                channel.inbox.push_back(Wish{id, *next, 1, true});
            }
        }
    }

   private:
    Instant free_from() const {
        const Terms& t = desk.terms;
        return desk.now + (t.single_owner ? 2 * t.message_longest + t.owner_lease + t.write_life : Span{});
    }
    const ServerId* least_laden() const {
        const ServerId* least = nullptr;
        std::pair<bool, int> lightest;
        for (const auto& [id, server] : servers) {
            if (!server.open) continue;
            std::pair<bool, int> laden{server.fresh, 0};
            for (const auto& [slice, held] : slices) laden.second += held.owners.contains(id) ? 1 : 0;
            if (!least || laden < lightest) std::tie(least, lightest) = std::pair{&id, laden};
        }
        return least;
    }
};

}  // namespace

// ---- The prediction --------------------------------------------------------------------------------------

// Queues and tail as M/M/1 has them. The design clamps u at 0.95; past it the queue goes on along its tangent
// and the spare capacity fades towards none, as a flat prediction has no slope just where it matters.
Prospect look_ahead(std::span<const ServerLoad> servers, TailTerm tail) {
    constexpr double kClamp = 0.95;
    Prospect ahead;
    double total = 0;
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
    }
    if (total <= 0) return ahead;
    const auto unanswered = [&](double t, const std::vector<double>& counted_as) {
        double sum = 0;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            sum += counted_as[i] * servers[i].rate / total * std::exp(-spare[i] * t);
        }
        return sum;
    };
    const std::vector<double> once(servers.size(), 1.0);
    const double most = 3.0 / *std::min_element(spare.begin(), spare.end());  // e^-3 is under 0.05
    const double t = ahead.p95 = crossing(0, most, 0.05, [&](double t) { return unanswered(t, once); });
    ahead.cost += tail.factor * t / tail.limit;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const double rest = std::exp(-spare[i] * t);
        const double raise = (rest - 0.05 + servers[i].rate * fading[i] * t * rest) / total;
        ahead.slope[i] += tail.factor / tail.limit * raise / unanswered(t, spare);
    }
    return ahead;
}

// ---- The planner: events to notes, one loop, one timer ---------------------------------------------------

class Planner::Impl {
   public:
    Impl(Terms terms, std::uint64_t seed)
        : desk_{std::move(terms), std::minstd_rand(static_cast<std::minstd_rand::result_type>(seed))} {}

    void hear(Event event) { heard_.push_back(std::move(event)); }

    std::vector<Order> decide(Instant now) {
        desk_.now = now;
        if (!std::exchange(started_, true)) {
            desk_.orders.push_back(order::StartTimer{kTimer, kTick});
            if (desk_.terms.must_subscribe) desk_.orders.push_back(order::Subscribe{true});
        }
        for (Event& event : std::exchange(heard_, {})) std::visit([this](auto& e) { apply(e); }, event);
        while (!desk_.agenda.empty() && desk_.agenda.begin()->first <= now) {
            auto [part, note] = std::move(desk_.agenda.extract(desk_.agenda.begin()).mapped());
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

    void apply(event::List& list) {
        using Form = event::List::Form;
        if (list.form == Form::unavailable) {
            // A broken subscription is asked for anew, after a wait that instances do not share.
            const auto wait = Span{std::uniform_int_distribution<int>(2'000, 10'000)(desk_.chance)};
            if (!desk_.terms.must_subscribe) return;
            return (void)desk_.agenda.emplace(desk_.now + wait, std::pair{&channel_, Resubscribe{}});
        }
        std::set<ServerId> named;
        for (const ListedServer& entry : list.servers) {
            if (entry.server.value.empty()) continue;
            named.insert(entry.server);
            if (entry.phase == Phase::gone && !servers_.contains(entry.server)) continue;
            const auto at = servers_.try_emplace(entry.server, Part{}, desk_, weigher_, keeper_).first;
            at->second.inbox.push_back(Listed{entry});
        }
        for (auto& [id, actor] : servers_) {
            if (list.form != Form::changes && !named.contains(id)) actor.inbox.push_back(Unlisted{});
        }
    }
    void apply(event::TimerDue& due) {
        if (due.timer != kTimer) return;
        desk_.orders.push_back(order::StartTimer{kTimer, kTick});
        if (desk_.now < next_step_) return;
        next_step_ = desk_.now + kStepEvery;
        gate_.inbox.push_back(Beat{});
        for (auto& [id, actor] : servers_) actor.inbox.push_back(Beat{});
        desk_.agenda.emplace(desk_.now + kTick, std::pair{&weigher_, Step{}});
    }
    void apply(event::Outcomes& met) {
        const auto at = servers_.find(met.server);
        const bool sound = counts(met.tries, met.bad) && met.mean >= Span{} && met.over > Span{};
        if (at != servers_.end() && sound) at->second.inbox.push_back(met);
    }
    void apply(event::Arrivals& came) {
        const bool sound = came.method.value >= 0 && came.method.value < std::ssize(desk_.terms.methods);
        if (sound && counts(came.count, came.unanswered)) gate_.inbox.push_back(came);
    }
    void apply(event::ProxyJoined& joined) { channel_.inbox.push_back(joined); }
    void apply(event::ProxyLeft& left) { channel_.inbox.push_back(left); }
    void apply(event::SliceGiven& given) { keeper_.inbox.push_back(given); }
    void apply(event::SliceOwner& owner) { keeper_.inbox.push_back(owner); }
    template <class NotActedOn>
    void apply(NotActedOn&) {}

    static bool counts(double all, double part) {
        return std::isfinite(all) && std::isfinite(part) && all > 0 && part >= 0;
    }

    // The one loop: each note goes to the part in whose inbox it lies, until all are empty.
    void run() {
        const auto empty = [](auto& part) {
            const bool any = !part.inbox.empty();
            while (!part.inbox.empty()) {
                const Note note = std::move(part.inbox.front());
                part.inbox.pop_front();
                std::visit([&part](auto& body) {
                    if constexpr (requires { part.on(body); }) part.on(body);
                }, note);
            }
            return any;
        };
        for (bool busy = true; busy;) {
            busy = false;
            for (auto& [id, actor] : servers_) busy |= empty(actor);
            busy |= empty(keeper_) | empty(gate_) | empty(weigher_) | empty(channel_);
        }
    }

    Desk desk_;
    bool started_ = false;
    Instant next_step_{};
    std::vector<Event> heard_;
    Channel channel_{{}, desk_};
    Gate gate_{{}, desk_, weigher_, channel_};
    Weigher weigher_{desk_, channel_, gate_};
    SliceKeeper keeper_{{}, desk_, channel_};
    std::map<ServerId, Server> servers_;
};

Planner::Planner(Terms terms, std::uint64_t seed) : impl_(std::make_unique<Impl>(std::move(terms), seed)) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;
void Planner::hear(Event event) { impl_->hear(std::move(event)); }
std::vector<Order> Planner::decide(Instant now) { return impl_->decide(now); }

}  // namespace micaroad
