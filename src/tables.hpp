// What the shared tables hold of each server and what they are to hold, and the ordered plan of changes:
// containers that are kept by changes, so that nobody has to walk all servers or all pools. They decide
// nothing: what is wanted, planned and sent is set by balance.hpp.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "memberships.hpp"
#include "notes.hpp"

namespace micaroad {

struct Entry;

// A change's place in the plan; rank below 0: it is not in it.
struct Planned {
    int rank = -1;
    double size = 0;
};

// A server in the tables of one pool. Shares of the pool.
struct Line {
    Entry* entry = nullptr;
    double share = 0;  // as published
    double wanted = 0, sent = 0;
    Planned planned{};
};

// A server, as proxies are told of it.
struct Entry {
    const ServerId* id = nullptr;
    std::vector<std::pair<std::size_t, Line*>> lines{};  // by pool, in their order
    bool out = false, shaky = false, cold = false;       // withdrawn; may be shut out at a proxy that joins
    bool live = true, queued = false, leaving = false;   // spoken of; in the lists of these
    int known_to = 0;  // the last to join of the proxies that were told that it is out
    ZoneId zone{};
    std::size_t subset = 0;
    Instant due{}, left{}, wished{};  // since when it should be out, when first it was, last heard of
    double ok = 1;                    // part of the latest tries
    Planned turn{};                   // its way out or back

    double share() const { return sum(&Line::share); }
    double wanted() const { return sum(&Line::wanted); }
    double sent() const { return sum(&Line::sent); }

 private:
    double sum(double Line::*figure) const {
        double sum = 0;
        for (const auto& [pool, line] : lines) sum += line->*figure;
        return sum;
    }
};

struct TablePool {
    Binding binding;
    std::map<const ServerId*, Line, ByServer> lines{};
    double had = 0;                    // what is sent of the servers that stay in use
    std::vector<double> bind_lines{};  // by subset: what a proxy that is bound gets
};

// Some of the servers, all of whose lines each of some proxies has. It is of one zone or of all.
struct Subset {
    std::optional<ZoneId> zone{};
    Row dealt{}, held{};  // by pool: servers, and shares
    double rate = 0;      // RPCs a second of its proxies
    double fit = 0;       // below 0: its servers are jammed
    std::set<ProxyId> all{};
};

class Tables {
 public:
    struct ByName {
        bool operator()(const Entry* one, const Entry* other) const { return *one->id < *other->id; }
    };
    using Entries = std::set<Entry*, ByName>;
    using Since = std::set<std::pair<Instant, Entry*>>;

    std::vector<TablePool> pools;
    std::map<ServerId, Entry> servers;
    std::vector<Subset> subsets;
    std::map<ProxyId, Bound> bound;
    std::set<Change> plan;
    Entries unsent;                   // no table holds a line of them
    Entries cold, jammed;             // jammed: kept out though shares are published, until the next are
    Entries turning, repeated;        // on their way out or back; of whom a withdrawal is repeated
    Entries failing;                  // fewer of their tries are ok than of a jammed server's
    Since leaving;                    // on their way out, since it is due
    Since withdrawn;                  // lately, by when
    Since departed;                   // that nobody speaks of any more, since then
    std::set<std::size_t> unsettled;  // pools whose wanted shares the next plan scales, published anew or not
    std::set<std::size_t> scaled;     // pools whose wanted shares are not what the last published ones gave

    Entry& entry(const ServerId& server) {
        const auto [at, added] = servers.try_emplace(server);
        if (added) {
            at->second.id = &at->first;
            unsent.insert(&at->second);
        }
        return at->second;
    }
    void set_shares(Entry& entry, const std::vector<std::pair<std::size_t, double>>& shares) {
        for (const auto& [pool, line] : entry.lines) line->share = 0;
        for (const auto& [pool, share] : shares) line_in(pool, entry).share = share;
        touch(entry);
    }
    // `heard`: for the last time, where it is not live.
    void set_live(Entry& entry, bool live, Instant heard) {
        departed.erase({entry.wished, &entry});
        entry.live = live;
        entry.wished = heard;
        if (!live) departed.emplace(heard, &entry);
    }
    void set_cold(Entry& entry, bool is) {
        entry.cold = is;
        put(cold, entry, is);
    }
    static void put(Entries& entries, Entry& entry, bool in) {
        in ? (void)entries.insert(&entry) : (void)entries.erase(&entry);
    }

    // Its pools are to be looked at in the next plan, and itself.
    void touch(Entry& entry) {
        for (const auto& [pool, line] : entry.lines) touched_.insert(pool);
        queue(entry);
    }
    void queue(Entry& entry) {
        if (!std::exchange(entry.queued, true)) queued_.push_back(&entry);
    }
    void queue(const Entries& entries) {
        for (Entry* const entry : entries) queue(*entry);
    }
    std::vector<Entry*> take_queued() {
        for (Entry* const entry : queued_) entry->queued = false;
        return std::exchange(queued_, {});
    }
    // The pools to look at; `fresh`: shares were published, what was jammed is looked at anew.
    std::set<std::size_t> take_touched(bool fresh) {
        if (fresh) {
            for (Entry* const entry : std::exchange(jammed, {})) touch(*entry);
        }
        std::set<std::size_t> pools = std::exchange(touched_, {});
        const auto& more = fresh ? scaled : unsettled;
        pools.insert(more.begin(), more.end());
        return pools;
    }

    // What a proxy that is bound gets of it, taken out while `change` is made.
    template <class AnyChange>
    void recount(Entry& entry, AnyChange change) {
        count(entry, -1);
        change();
        count(entry, 1);
    }
    // While no line is sent. `zones`: 1 where subsets are of all.
    void set_subsets(std::size_t number, int zones) {
        subsets.assign(number, {});
        for (int p = 0; p < std::ssize(subsets); ++p) {
            Subset& subset = subsets[static_cast<std::size_t>(p)];
            if (zones > 1) subset.zone = ZoneId{p % zones};
            subset.dealt = subset.held = Row(pools.size());
        }
        all_held_ = Row(pools.size());
        for (TablePool& pool : pools) pool.bind_lines.assign(number, 0);
        for (auto& [id, entry] : servers) entry.subset = std::min(entry.subset, number - 1);
    }
    // What each subset holds of these pools, anew.
    void add_up(const std::set<std::size_t>& pools) {
        for (const std::size_t k : pools) add_up(k);
        held_part_.clear();
    }
    // `sign` -1 takes it out again.
    void count_dealt(const Entry& entry, double sign) {
        for (const auto& [k, line] : entry.lines)
            subsets[entry.subset].dealt[k] += line->wanted > 0 ? sign : 0;
    }
    // What a subset holds of a pool that a zone's proxies use: the least part of any.
    double held_part(std::size_t subset, ZoneId zone) {
        const auto [at, added] = held_part_.try_emplace({subset, zone}, 1);
        double& least = at->second;
        for (std::size_t k = 0; added && subsets.size() > 1 && k < pools.size(); ++k) {
            const bool used = pools[k].binding.zone.value_or(zone) == zone;
            if (used && all_held_[k] > 0) least = std::min(least, subsets[subset].held[k] / all_held_[k]);
        }
        return least;
    }

    void bind(ProxyId proxy, const Bound& as) {
        release(proxy);
        bound[proxy] = as;
        subsets[as.subset].all.insert(proxy);
        subsets[as.subset].rate += as.rate;
    }
    void release(ProxyId proxy) {
        const auto at = bound.extract(proxy);
        if (!at) return;
        Subset& its = subsets[at.mapped().subset];
        its.all.erase(proxy);
        its.rate -= at.mapped().rate;
    }

    // It should be out since then; absent: it is not on its way out.
    void set_leaving(Entry& entry, bool is, Instant due) {
        leaving.erase({std::exchange(entry.due, due), &entry});
        if (is) leaving.emplace(due, &entry);
    }
    // It is withdrawn or back now.
    void set_left(Entry& entry, Instant now) {
        leaving.erase({entry.due, &entry});
        withdrawn.erase({std::exchange(entry.left, now), &entry});
        if (entry.out) withdrawn.emplace(now, &entry);
    }
    // Nobody asks any more about those who were withdrawn by then.
    void drop_withdrawn(Instant until) {
        while (!withdrawn.empty() && withdrawn.begin()->first <= until) withdrawn.erase(withdrawn.begin());
    }

    void plan_turn(Entry& entry, int rank, double size) {
        for (const auto& [pool, line] : entry.lines) drop(line->planned, *entry.id, static_cast<int>(pool));
        plan_at(entry.turn, {rank, size, *entry.id, -1});
        turning.insert(&entry);
    }
    void drop_turn(Entry& entry) {
        drop(entry.turn, *entry.id, -1);
        turning.erase(&entry);
    }
    void plan_at(Planned& planned, const Change& change) {
        const auto& [rank, size, server, pool] = change;
        if (planned.rank == rank && planned.size == size) return;
        drop(planned, server, pool);
        planned = {rank, size};
        plan.insert(change);
    }
    void drop(Planned& planned, const ServerId& server, int pool) {
        if (planned.rank >= 0) plan.erase({planned.rank, planned.size, server, pool});
        planned = {};
    }
    // Takes the first change off the plan; who it is about.
    Entry& take_first() {
        const auto [rank, size, server, pool] = *plan.begin();
        Entry& entry = servers.at(server);
        pool < 0 ? drop_turn(entry)
                 : drop(pools[static_cast<std::size_t>(pool)].lines.at(entry.id).planned, server, pool);
        return entry;
    }

    // Lines that say nothing any more.
    void drop_empty_lines(Entry& entry) {
        std::erase_if(entry.lines, [&](const auto& at) {
            const auto& [pool, line] = at;
            if (line->share != 0 || line->wanted != 0 || line->sent != 0) return false;
            drop(line->planned, *entry.id, static_cast<int>(pool));
            pools[pool].lines.erase(entry.id);
            return true;
        });
    }
    // One of which no table holds a line.
    void forget(Entry& entry) {
        drop_turn(entry);
        for (const auto& [pool, line] : entry.lines) {
            drop(line->planned, *entry.id, static_cast<int>(pool));
            pools[pool].lines.erase(entry.id);
            touched_.insert(pool);
        }
        for (Entries* entries : {&unsent, &cold, &jammed, &repeated, &failing}) entries->erase(&entry);
        leaving.erase({entry.due, &entry});
        withdrawn.erase({entry.left, &entry});
        departed.erase({entry.wished, &entry});
        if (entry.queued) std::erase(queued_, &entry);
        servers.erase(servers.find(*entry.id));
    }

 private:
    Line& line_in(std::size_t pool, Entry& entry) {
        const auto [at, added] = pools[pool].lines.try_emplace(entry.id, Line{&entry});
        if (added) {
            entry.lines.emplace_back(pool, &at->second);
            std::sort(entry.lines.begin(), entry.lines.end());
        }
        return at->second;
    }
    void add_up(std::size_t k) {
        for (Subset& subset : subsets) subset.dealt[k] = subset.held[k] = 0;
        for (const auto& [id, line] : pools[k].lines) {
            if (line.entry->sent() == 0) continue;
            Subset& its = subsets[line.entry->subset];
            its.held[k] += line.wanted;
            its.dealt[k] += line.wanted > 0;
        }
        all_held_[k] = 0;
        for (const Subset& subset : subsets) all_held_[k] += subset.held[k];
    }
    // Who is out is shut out with its line; who may be shut out at a proxy is let back.
    void count(Entry& entry, double sign) {
        for (const auto& [pool, line] : entry.lines) {
            if (line->sent > 0)
                pools[pool].bind_lines[entry.subset] += sign * (entry.out || entry.shaky ? 2 : 1);
        }
    }

    Row all_held_;  // by pool, of all subsets
    std::map<std::pair<std::size_t, ZoneId>, double>
        held_part_;  // as far as asked for since shares were added up
    std::set<std::size_t> touched_;
    std::vector<Entry*> queued_;
};

}  // namespace micaroad
