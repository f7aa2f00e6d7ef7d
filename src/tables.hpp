// What the shared tables hold of each server and what they are to hold, and the ordered plan of changes: containers that
// are kept by changes, so that nobody has to walk all servers or all pools. They decide nothing: what is wanted, planned
// and sent is set by balance.cpp.
#pragma once

#include <map>
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
    double share = 0;         // as published
    double wanted = 0, sent = 0;
    Planned planned{};
};

// A server, as proxies are told of it.
struct Entry {
    const ServerId* id = nullptr;
    std::vector<std::pair<std::size_t, Line*>> lines{};  // by pool, in their order
    bool out = false, shaky = false, cold = false;  // withdrawn; may be shut out at a proxy that joins
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

class Tables {
 public:
    struct ByName {
        bool operator()(const Entry* one, const Entry* other) const { return *one->id < *other->id; }
    };
    using Entries = std::set<Entry*, ByName>;
    using Since = std::set<std::pair<Instant, Entry*>>;

    std::vector<TablePool> pools;
    std::map<ServerId, Entry> servers;
    std::set<Change> plan;
    Entries unsent;             // no table holds a line of them
    Entries cold, jammed;       // jammed: kept out though shares are published, until the next are
    Entries turning, repeated;  // on their way out or back; of whom a withdrawal is repeated
    Entries failing;            // fewer of their tries are ok than of a jammed server's
    Since leaving;              // on their way out, since it is due
    Since withdrawn;            // lately, by when
    Since departed;             // that nobody speaks of any more, since then
    std::set<std::size_t> unsettled;  // pools whose wanted shares the next plan scales, published anew or not
    std::set<std::size_t> scaled;     // pools whose wanted shares are not what the last published ones gave

    Entry& entry(const ServerId& server) {
        const auto [at, added] = servers.try_emplace(server);
        if (added) at->second.id = &at->first, unsent.insert(&at->second);
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
        entry.live = live, entry.wished = heard;
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
        if (fresh) for (Entry* const entry : std::exchange(jammed, {})) touch(*entry);
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
    void set_subsets(std::size_t number) {
        for (TablePool& pool : pools) pool.bind_lines.assign(number, 0);
        for (auto& [id, entry] : servers) entry.subset = std::min(entry.subset, number - 1);
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
        pool < 0 ? drop_turn(entry) : drop(pools[static_cast<std::size_t>(pool)].lines.at(entry.id).planned, server, pool);
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
        leaving.erase({entry.due, &entry}), withdrawn.erase({entry.left, &entry});
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
    // Who is out is shut out with its line; who may be shut out at a proxy is let back.
    void count(Entry& entry, double sign) {
        for (const auto& [pool, line] : entry.lines) {
            if (line->sent > 0) pools[pool].bind_lines[entry.subset] += sign * (entry.out || entry.shaky ? 2 : 1);
        }
    }

    std::set<std::size_t> touched_;
    std::vector<Entry*> queued_;
};

}  // namespace micaroad
