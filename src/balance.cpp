// micaroad's decisions, all of them.
//
// To call it: hear() events, then decide() empties every inbox and hands back the orders; the interface is
// include/micaroad/planner.hpp, the reasons are in docs/design.md. The ordinary path is the design's: a
// softmax weight for each server and pool, bounded gradient steps on the queues and the tail that an M/M/1
// model predicts, one shared table a pool, largest changes first. Beside it stand six mechanisms:
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
#include <random>
#include <set>
#include <utility>
#include <valarray>

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

// The value that half of the weight lies under.
double middle(const Row& values, const Row& weights) {
    std::vector<std::pair<double, double>> sorted;
    for (std::size_t i = 0; i < values.size(); ++i) sorted.emplace_back(values[i], weights[i]);
    std::sort(sorted.begin(), sorted.end());
    double rest = weights.sum() / 2;
    for (const auto& [value, weight] : sorted) if ((rest -= weight) <= 0) return value;
    return 0;
}

// The design starts at 5 s. Shorter steps act again before what the last one did is heard.
constexpr Span kStepEvery = std::chrono::seconds(4);
constexpr double kMemory = 0.25;  // of what was heard before a step: one alone sees few RPCs a server

// ---- Notes: what the parts put into each other's inboxes -------------------------------------------------

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
struct Strain { double answer, soft_deadline; };    // of the median server, seconds
struct Demand { Row rates; bool strained; };        // RPCs a second let in, by method
struct Levels { Row amounts; };                     // by method

using Note = std::variant<Listed, Unlisted, Beat, Step, Pulse, Resubscribe, Standing, Wish, Binding, Strain,
                          Demand, Levels, event::Outcomes, event::ProxyJoined, event::ProxyLeft,
                          event::Arrivals, event::SliceGiven, event::SliceOwner>;

struct Part { std::deque<Note> inbox; };

struct Desk {  // what every part may look at
    const Terms terms;
    std::minstd_rand chance;
    // A whole number of report periods: a step that cuts through one sees now more of them, now fewer.
    Span step = (kStepEvery + terms.report_every - Span{1}) / terms.report_every * terms.report_every;
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
        if (note.entry.last_start && note.entry.last_start != self.entry.last_start) self = Standing{};
        self.entry = note.entry;
        if (!std::isfinite(self.entry.size) || self.entry.size <= 0) self.entry.size = 1;
        self.open = self.entry.phase == Phase::ready;
        tell();
    }

    void on(const Unlisted&) {
        self.entry.phase = Phase::gone;
        if (std::exchange(self.open, false)) tell();
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
        self.window += seconds(desk.step);
        if (self.open) tell();
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
    // Figures by pool; owing: the share that must have brought tries.
    struct Member { Standing seen; Row weight, share, owing; };
    struct Pool { Binding binding; Method like; double rate = 0; };  // all of a pool are open to the same
    using Members = std::vector<Member*>;
    using Shares = std::vector<Row>;  // by pool, of the open servers

    Desk& desk;
    Part &channel, &gate;
    std::vector<Pool> pools;
    std::map<ServerId, Member> members;
    std::set<ProxyId> joined;
    bool changed = false, strained = false;
    double limit = 0;          // seconds, for the tail; 0 until an answer was heard
    double load_per_rate = 1;  // tries heard of for each RPC that the pools' rates promise

    Weigher(Desk& desk, Part& channel, Part& gate) : desk(desk), channel(channel), gate(gate) {
        for (int m = 0; m < std::ssize(desk.terms.methods) && desk.terms.slices == 0; ++m) {
            const Method& method = desk.terms.methods[m];
            for (int zone = 0; zone < (method.own_zone_only ? desk.terms.zones : 1); ++zone) {
                const auto home = method.own_zone_only ? std::optional{ZoneId{zone}} : std::nullopt;
                auto pool = std::find_if(pools.begin(), pools.end(), [&](const Pool& p) {
                    return p.like.only_kinds == method.only_kinds && p.like.only_zones == method.only_zones &&
                           p.binding.zone == home;
                });
                if (pool == pools.end()) {
                    const TableId table{static_cast<int>(pools.size()) + 1};
                    pool = pools.insert(pools.end(), {{table, {}, home}, method});
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
        if (added) member.weight = member.share = member.owing = Row(pools.size());
        // Steps leave the mean of the weights as it is, so a server may enter at its listed weight.
        if (note.open && !member.seen.open) member.weight = std::log(note.entry.size);
        changed |= added || note.open != member.seen.open || note.beats < member.seen.beats;
        member.seen = note;
        if (changed) inbox.push_back(Pulse{});
    }

    void on(const Pulse&) { if (std::exchange(changed, false)) publish(true); }

    void on(const event::ProxyJoined& note) { joined.insert(note.proxy); }
    void on(const event::ProxyLeft& note) { joined.erase(note.proxy); }

    void on(const Demand& note) {
        strained = note.strained;
        for (Pool& pool : pools) {
            double rate = 0;
            for (const MethodId method : pool.binding.methods) rate += note.rates[method.value];
            if (rate > 0) pool.rate = rate;
        }
    }

    void on(const Step&) {
        const Members open = open_members();
        Row rate, answer;
        if (!weigh_evidence(open, rate, answer)) return publish(false);
        // Proxies that are not ours are taken to load the servers as ours do.
        rate *= std::max(1.0, 1.0 * desk.terms.proxies / std::max(1.0, 1.0 * joined.size()));
        const Row capacity = rate + 1.0 / answer;
        Shares now(pools.size());  // as published
        for (std::size_t k = 0; k < now.size(); ++k) now[k] = of(open, [k](auto& m) { return m.share[k]; });
        const auto ahead = [&](const Shares& to, TailTerm tail) {
            Row at = rate;
            for (int k = 0; k < std::ssize(now); ++k) at += load_per_rate * pools[k].rate * (to[k] - now[k]);
            at[at < 0.0] = 0;
            return look_ahead(at, capacity, tail);
        };
        const Shares stay = shares(open, 0, {});
        // The factor stops at the limit: past it the model is so stiff that a larger one allows no step.
        const double lateness = std::min(ahead(stay, {}).p95 / limit, 1.0);
        const TailTerm tail{5 * std::exp(10 * (lateness - 1)), limit};
        const Prospect here = ahead(stay, tail);
        Shares downhill = stay;  // how far the weights go in a whole step
        const double scale = kStepScale * std::ssize(open) / std::max(here.cost, 1e-9) * load_per_rate;
        for (std::size_t k = 0; k < pools.size(); ++k) {
            downhill[k] *= scale * pools[k].rate * (here.slope - (stay[k] * here.slope).sum());
        }
        const auto room = [&](double c) {
            const Shares share = shares(open, c, downhill);
            double sum = 0;
            for (std::size_t k = 0; k < pools.size(); ++k) sum += std::pow(share[k] - stay[k], 2.0).sum();
            return kMostMove - std::sqrt(sum);
        };
        const auto cost = [&](double c) { return ahead(shares(open, c, downhill), tail).cost; };
        double c = room(1) >= 0 ? 1 : crossing(0, 1, 0, room);
        // A step within the bound can still overshoot what the model says is best along it: halved until not.
        double best = cost(c);
        for (double half; c > 1e-3 && (half = cost(c / 2)) < best; c /= 2) best = half;
        for (std::size_t k = 0; k < pools.size() && here.cost - best > kLeastGain * here.cost; ++k) {
            const Row size = sizes(k, open), listed = size / std::max(size.sum(), 1e-9);
            const Row share = shares(open, c, downhill)[k];
            for (std::size_t i = 0; i < open.size(); ++i) {
                const double kept = std::clamp(share[i], kLeast * listed[i], kMost * listed[i]);
                open[i]->weight[k] += (share[i] > 0 ? std::log(kept / share[i]) : 0) - c * downhill[k][i];
            }
        }
        publish(false);
    }

   private:
    static constexpr double kMostMove = 0.15;  // the design's
    // The design's 0.5, on the gradient of the cost's logarithm a server: a pool's size and traffic do not
    // set how fast it learns.
    static constexpr double kStepScale = 0.5;
    // The design starts at a tenth; one slow server of twenty costs less than that and is worth a step.
    static constexpr double kLeastGain = 0.01;
    // Learnt shares keep within these parts of the listed ones: what is never tried can't show that it
    // recovered, and steps on late or thin evidence would crowd one server after another.
    static constexpr double kLeast = 0.05, kMost = 3;
    // The design counts an unheard server as the pool's mean; here so many RPCs of evidence weigh as much as
    // the mean answer of its kind: answers vary about threefold more than servers of a kind do.
    static constexpr double kDoubt = 10;

    Members open_members() {
        Members open;
        for (auto& [id, member] : members) if (member.seen.open) open.push_back(&member);
        return open;
    }

    template <class Figure>
    static Row of(const Members& members, Figure figure) {
        Row row(members.size());
        for (std::size_t i = 0; i < members.size(); ++i) row[i] = figure(*members[i]);
        return row;
    }

    static bool serves(const Pool& pool, const Standing& server) {
        const auto among = [](const auto& only, const auto& id) {
            return only.empty() || std::find(only.begin(), only.end(), id) != only.end();
        };
        return server.open && among(pool.like.only_kinds, server.entry.kind) &&
               among(pool.like.only_zones, server.entry.zone) &&
               (!pool.binding.zone || *pool.binding.zone == server.entry.zone);
    }

    // Mechanism 1. Guards against a server that fails fast (looks idle), hangs (has no answer time) or can't
    // be reached: a failed try counts as an answer at twice the tail's limit, and tries that a server's share
    // owes but that never ended count as failed. It should answer whatever makes answers fail or stay away.
    // It could harm where few RPCs come, as chance then looks like silence: hence three deviations.
    bool weigh_evidence(const Members& open, Row& rate, Row& answer) {
        const Row tries = of(open, [](const Member& m) { return m.seen.tries; });
        const Row bad = of(open, [](const Member& m) { return m.seen.bad; });
        const Row answers = of(open, [](const Member& m) { return m.seen.answer_seconds; });
        const Row ok = tries - bad;
        if (open.empty() || pools.empty() || ok.sum() <= 0) return false;
        if (limit == 0) {
            Span soonest = Span::max();
            for (const Method& m : desk.terms.methods) soonest = std::min(soonest, m.soft_deadline);
            limit = std::max(seconds(soonest), 2 * middle(answers / (ok + 1e-9), ok));
        }
        double promised = 0;
        Row expected(open.size());
        for (std::size_t k = 0; k < pools.size(); ++k) {
            promised += pools[k].rate;
            expected += tries.sum() * pools[k].rate * of(open, [k](const Member& m) { return m.owing[k]; });
        }
        expected /= promised;
        Row owed = expected - tries;
        owed[owed <= 3.0 * std::sqrt(expected)] = 0;
        rate = tries + owed;
        answer = answers + (bad + owed) * 2.0 * limit;
        for (std::size_t i = 0; i < open.size(); ++i) {
            const KindId kind = open[i]->seen.entry.kind;
            const Row alike = of(open, [kind](const Member& m) { return m.seen.entry.kind == kind; });
            const double usual = (answers * alike).sum() + kDoubt * answers.sum() / ok.sum();
            answer[i] += kDoubt * usual / ((ok * alike).sum() + kDoubt);
        }
        answer /= rate + kDoubt;
        rate /= of(open, [](const Member& m) { return m.seen.window; }).max();
        load_per_rate = rate.sum() / promised;
        gate.inbox.push_back(Strain{middle(answer, rate), limit});
        return true;
    }

    // Mechanism 2. The design starts a fresh server at a quarter of its listed share and doubles it; here it
    // waits until it is half warm by its age, and after strain until it is warm: proxies that avoid others
    // after failures would send it all they have. Then its part follows the least that its age lets it do.
    // That costs capacity on a day of overload.
    double ceiling(const Standing& server) const {
        if (!server.fresh) return 1e300;
        const double age = seconds(desk.now - *server.entry.last_start) / seconds(desk.terms.warm_after);
        if (strained || age < 0.5) return 0;
        return desk.terms.cold_capacity + (1 - desk.terms.cold_capacity) * std::min(age, 1.0);
    }

    Row sizes(std::size_t k, const Members& open) const {
        return of(open, [&](const Member& m) { return serves(pools[k], m.seen) ? m.seen.entry.size : 0; });
    }

    // Softmax over the servers that a pool is open to, after a part of a step; no fresh one above its ceiling
    // while others have room.
    Shares shares(const Members& open, double c, const Shares& downhill) const {
        Shares all(pools.size(), Row(open.size()));
        for (std::size_t k = 0; k < pools.size() && !open.empty(); ++k) {
            const Row size = sizes(k, open);
            if (size.sum() == 0) continue;
            Row weight = of(open, [k](const Member& m) { return m.weight[k]; });
            if (!downhill.empty()) weight -= c * downhill[k];
            Row share = std::exp(weight - weight.max());
            share[size == 0.0] = 0;
            share /= share.sum();
            const Row free = share * of(open, [](const Member& m) { return m.seen.fresh ? 0 : 1; });
            Row eased = share - free;
            for (std::size_t i = 0; i < open.size(); ++i) {
                eased[i] = std::min(eased[i], ceiling(open[i]->seen) * size[i] / size.sum());
            }
            all[k] = free.sum() > 0 ? Row(eased + free * (1 - eased.sum()) / free.sum()) : share;
        }
        return all;
    }

    void publish(bool urgent) {
        const Members open = open_members();
        const Shares share = shares(open, 0, {});
        for (auto& [id, member] : members) member.share = 0;
        for (std::size_t k = 0; k < pools.size(); ++k) {
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

// Mechanism 3. Guards against a fleet that is late as a whole, whatever the cause (overload, shared slowness,
// retry storms): when the median server answers later than a part of the soft deadline, what is let in falls
// well under what the fleet bears, so that queues drain, and once answers are early it goes back to a little
// less than what was too much. It could harm where load is not why RPCs are late; hence the floor.
struct Gate : Part {
    Desk& desk;
    Part &weigher, &channel;
    Row came = Row(desk.terms.methods.size());  // RPCs, older ones fading
    Row level = Row(1.0, desk.terms.methods.size());
    double window = 0, let_in = 1, bearable = 1;  // bearable: once its queues are short again
    Instant next_cut{}, calm_from{};

    void on(const event::Arrivals& note) { came[note.method.value] += note.count; }

    void on(const Beat&) {
        window += seconds(desk.step);
        weigher.inbox.push_back(Demand{came / window * level, desk.now < calm_from});
        weigher.inbox.push_back(Step{});  // behind what the servers have told it of this beat
        window *= kMemory;
        came *= kMemory;
    }

    void on(const Strain& note) {
        const double aim = kAim * note.soft_deadline;
        const bool late = note.answer > aim;
        if (late && desk.now >= next_cut) {
            if (let_in >= 0.95 * bearable) bearable *= kBackOff;
            let_in = std::max(bearable * std::max(aim / note.answer, 0.5), kLeastLetIn);
            // RPCs let in before a cut show in the reports until then.
            const auto on_the_way = Span{static_cast<Span::rep>(note.answer / seconds(Span{1}))};
            next_cut = desk.now + desk.terms.message_longest + 2 * desk.terms.report_every + on_the_way;
        } else if (note.answer < 0.75 * aim) {
            bearable = std::min(1.0, bearable * 1.06);
            let_in = std::min(bearable, let_in * 1.5);
        }
        if (note.answer > kCalm * aim || let_in < 1) calm_from = desk.now + desk.terms.warm_after;
        share_out();
    }

   private:
    static constexpr double kAim = 0.7;  // a mean so late puts a quarter of exponential answers past it
    static constexpr double kCalm = 0.6;  // a fleet nearer to late than this can jam before it is heard of
    static constexpr double kLeastLetIn = 0.3, kBackOff = 0.85;

    // Least criticality first, or all methods alike: whichever keeps more of the goal.
    void share_out() {
        const Terms& terms = desk.terms;
        Row worth(came.size()), ranked(1.0, came.size());
        std::multimap<double, std::size_t> order;
        for (std::size_t m = 0; m < came.size(); ++m) {
            worth[m] = terms.methods[m].criticality * came[m] / std::max(came.sum(), 1e-9);
            order.emplace(terms.methods[m].criticality, m);
        }
        double spare = (1 - let_in) * came.sum();
        for (const auto& [criticality, m] : order) {
            const double cut = std::min(spare, came[m]);
            if (came[m] > 0) ranked[m] = 1 - cut / came[m];
            spare -= cut;
        }
        const auto goal = [&](const Row& levels) {
            return terms.whole_weight * (worth * levels).sum() / std::max(worth.sum(), 1e-9) +
                   terms.worst_method_weight * levels.min();
        };
        const Row alike(let_in, came.size());
        level = goal(ranked) > goal(alike) ? ranked : alike;
        if (terms.levels == LevelKind::share) channel.inbox.push_back(Levels{level});
    }
};

// ---- The channel: what goes to the proxies, and when -----------------------------------------------------

// Mechanism 5. Guards against tables that outlive what they say: drains, fresh servers and joining proxies go
// out at once and ahead of the budget, up to the rule's limits; all else waits its turn, merged.
struct Channel : Part {
    // Mechanism 4. A further try only after proof that the first never ran, and none while a level is cut: no
    // effect can come twice, whatever the method, and a busy fleet is not sent its work twice.
    static constexpr FurtherTry kFurther = FurtherTry::once_if_never_ran;
    struct Line { double wanted = 0, sent = 0; bool urgent = false; };
    struct Proxy { ZoneId zone; bool bound = false; std::vector<Instant> messages{}; };

    Desk& desk;
    std::vector<Binding> bindings{};
    std::map<TableId, std::map<ServerId, Line>> tables{};
    std::map<ProxyId, Proxy> proxies{};
    Row wanted_levels = Row(1.0, desk.terms.methods.size());
    // Where proxies do not try so by themselves, the first level tells them.
    Row sent_levels = Row(desk.terms.further_tries == kFurther ? 1.0 : 0.0, desk.terms.methods.size());
    double waiting = 0;    // lines, as if the channel ran at a part of its pace
    double allowance = 0;  // lines that ordinary changes may use
    Instant counted{};

    void on(const Resubscribe&) { if (desk.terms.must_subscribe) desk.orders.push_back(order::Subscribe{}); }
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
        for (auto& [id, proxy] : proxies) {
            std::erase_if(proxy.messages, [&](auto t) { return t <= desk.now - desk.terms.messages_span; });
            if (std::ssize(proxy.messages) >= most) return false;
        }
        return true;
    }

    void send_changes() {
        std::vector<std::tuple<int, double, TableId, ServerId, Line*>> changes;  // rank, largest first
        for (auto& [table, lines] : tables) {
            for (auto& [server, line] : lines) {
                const double size = std::abs(line.wanted - line.sent);
                const bool both = line.wanted > 0 && line.sent > 0;
                if (line.wanted == line.sent || (both && size <= kWorthSending * line.sent)) continue;
                const bool urgent = !both || (line.urgent && line.wanted < line.sent);
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
            const bool same = std::abs(wanted - sent) <= kLevelWorthSending && (wanted < 1) == (sent < 1);
            if (same || !fits(1)) continue;
            sent_levels[m] = wanted;
            const FurtherTry further = wanted_levels.min() < 1 ? FurtherTry::never : kFurther;
            desk.orders.push_back(order::SetLevel{{}, {MethodId{static_cast<int>(m)}}, wanted, further});
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
    struct Slice { std::set<ServerId> owners; Instant free_from{}; };  // no successor before that

    Desk& desk;
    Part& channel;
    std::map<TableId, Slice> slices{};
    std::map<ServerId, bool> open{};

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
        open[note.entry.server] = note.open;
        if (!slices.empty()) inbox.push_back(Pulse{});
    }
    void on(const Pulse&) {
        std::vector<ServerId> choice;
        for (const auto& [id, is_open] : open) if (is_open) choice.push_back(id);
        for (auto& [id, slice] : slices) {
            for (const ServerId& owner : std::set(slice.owners)) {
                if (open[owner]) continue;
                channel.inbox.push_back(Wish{id, owner, 0, true});
                slice.owners.erase(owner);
                slice.free_from = std::max(slice.free_from, free_from());
            }
            if (!slice.owners.empty() || choice.empty()) continue;
            if (desk.now < slice.free_from) {
                desk.agenda.emplace(slice.free_from, std::pair{this, Pulse{}});
            } else {
                slice.owners.insert(choice[desk.chance() % choice.size()]);
                channel.inbox.push_back(Wish{id, *slice.owners.begin(), 1, true});
            }
        }
    }
    Instant free_from() const {
        const Terms& t = desk.terms;
        return desk.now + (t.single_owner ? 2 * t.message_longest + t.owner_lease + t.write_life : Span{});
    }
};

}  // namespace

// ---- The prediction --------------------------------------------------------------------------------------

// Queues and tail as M/M/1 has them. The design clamps u at 0.95; past it the queue goes on along its tangent
// and the spare capacity fades towards none, as a flat prediction has no slope just where it matters.
Prospect look_ahead(const Row& rate, const Row& capacity, TailTerm tail) {
    constexpr double kClamp = 0.95;
    const Row u = rate / capacity;
    Row v = u;
    v[v > kClamp] = kClamp;
    const Row steep = 1.0 / ((1.0 - v) * (1.0 - v));
    const Row fading = std::exp((v - u) / (1 - kClamp));
    const Row spare = capacity * (1.0 - v) * fading;
    Prospect ahead{(v / (1.0 - v) + (u - v) * steep).sum(), 0, steep / capacity};
    const double total = rate.sum();
    if (total <= 0) return ahead;
    const auto unanswered = [&](double t) { return (rate * std::exp(-spare * t)).sum() / total; };
    const double t = ahead.p95 = crossing(0, 3 / spare.min(), 0.05, unanswered);  // e^-3 is under 0.05
    const Row rest = std::exp(-spare * t);
    const Row raise = (rest - 0.05 + rate * fading * t * rest) / (rate * spare * rest).sum();
    ahead.cost += tail.factor * t / tail.limit;
    ahead.slope += tail.factor / tail.limit * raise;
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
            channel_.inbox.push_back(Resubscribe{});
        }
        for (Event& event : std::exchange(heard_, {})) std::visit([this](auto& e) { apply(e); }, event);
        while (!desk_.agenda.empty() && desk_.agenda.begin()->first <= now) {
            auto [part, note] = std::move(desk_.agenda.extract(desk_.agenda.begin()).mapped());
            part->inbox.push_back(std::move(note));
        }
        run();
        channel_.inbox.push_back(Pulse{});  // when all else is said
        run();
        return std::exchange(desk_.orders, {});
    }

   private:
    static constexpr TimerId kTimer{1};
    static constexpr Span kTick = std::chrono::milliseconds(100);  // short beside a message's way

    void apply(event::List& list) {
        if (list.form == event::List::Form::unavailable) {
            // A broken subscription is asked for anew, after a wait that instances do not share.
            const Span wait{2'000 + desk_.chance() % 8'000};
            return (void)desk_.agenda.emplace(desk_.now + wait, std::pair{&channel_, Resubscribe{}});
        }
        std::set<ServerId> named;
        for (const ListedServer& entry : list.servers) {
            if (entry.server.value.empty()) continue;
            named.insert(entry.server);
            const auto at = servers_.try_emplace(entry.server, Part{}, desk_, weigher_, keeper_).first;
            at->second.inbox.push_back(Listed{entry});
        }
        if (list.form == event::List::Form::changes) return;
        for (auto& [id, actor] : servers_) if (!named.contains(id)) actor.inbox.push_back(Unlisted{});
    }
    void apply(event::TimerDue& due) {
        if (due.timer != kTimer) return;
        desk_.orders.push_back(order::StartTimer{kTimer, kTick});
        if (desk_.now < next_step_) return;
        next_step_ = desk_.now + desk_.step;
        gate_.inbox.push_back(Beat{});
        for (auto& [id, actor] : servers_) actor.inbox.push_back(Beat{});
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
    template <class Other>
    void apply(Other& event) {  // what means nothing to any part is not acted on
        if constexpr (requires { keeper_.on(event); }) keeper_.inbox.push_back(event);
        if constexpr (requires { weigher_.on(event); }) {
            weigher_.inbox.push_back(event);
            channel_.inbox.push_back(event);
        }
    }

    static bool counts(double all, double part) { return std::isfinite(all + part) && all > 0 && part >= 0; }

    // The one loop: every inbox is emptied until none holds a note. Servers speak first.
    void run() {
        const auto empty = [](auto& part) {
            for (; !part.inbox.empty(); part.inbox.pop_front()) {
                std::visit([&part](const auto& note) {
                    if constexpr (requires { part.on(note); }) part.on(note);
                }, part.inbox.front());
            }
        };
        const auto busy = [](const auto&... parts) { return (!parts.inbox.empty() || ...); };
        do {
            for (auto& [id, actor] : servers_) empty(actor);
            empty(keeper_), empty(gate_), empty(weigher_), empty(channel_);
        } while (busy(keeper_, gate_, weigher_, channel_));
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
