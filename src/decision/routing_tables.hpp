// What the shared tables hold of each server and what they are to hold, and the ordered plan of
// changes: containers that are kept by changes, so that nobody has to walk all servers or all
// pools. They decide nothing: what is wanted, planned and sent is set by balance.hpp.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "decision/messages.hpp"
#include "decision/pool_membership.hpp"

namespace micaroad::decision {

struct RoutingEntry;

/// A proxy that has joined and is not bound to tables yet.
struct UnboundProxy {
    ZoneId zone;
    int turn = 0;  ///< its place among all joinings
};

/// A proxy that is bound to the tables of a subset.
struct BoundProxy {
    ZoneId zone;
    double rate = 0;  ///< RPCs per second
    std::size_t subset = 0;
    bool few = false;  ///< bound to a table of its own with a few servers of the subset
};

// Rank (0: can't wait, 1: learnt, 2: tidies up), size, server, pool (below 0: it leaves or comes
// back).
using PendingChange = std::tuple<int, double, ServerId, int>;

// A change's place in the plan; rank below 0: it is not in it.
struct PlannedChange {
    int rank = -1;
    double size = 0;
};

// A server in the tables of one pool. Shares of the pool.
struct TableEntry {
    RoutingEntry* entry = nullptr;
    double share = 0;  // as published
    double wanted = 0, sent = 0;
    PlannedChange planned{};
};

// A server, as proxies are told of it.
struct RoutingEntry {
    const ServerId* id = nullptr;
    std::vector<std::pair<std::size_t, TableEntry*>> lines{};  // by pool, in their order
    bool out = false, shaky = false,
         cold = false;  // withdrawn; may be shut out at a proxy that joins
    bool live = true, queued = false, leaving = false;  // spoken of; in the lists of these
    int known_to = 0;  // the last to join of the proxies that were told that it is out
    ZoneId zone{};
    std::size_t subset = 0;
    TimePoint due{}, left{},
        wished{};          // since when it should be out, when first it was, last heard of
    double ok = 1;         // part of the latest tries
    PlannedChange turn{};  // its way out or back

    double share() const { return sum(&TableEntry::share); }
    double wanted() const { return sum(&TableEntry::wanted); }
    double sent() const { return sum(&TableEntry::sent); }

 private:
    double sum(double TableEntry::* figure) const {
        double sum = 0;
        for (const auto& [pool, line] : lines) {
            sum += line->*figure;
        }
        return sum;
    }
};

struct TablePool {
    PoolBinding binding;
    std::map<const ServerId*, TableEntry, ByServer> lines{};
    double had = 0;                    // what is sent of the servers that stay in use
    std::vector<double> bind_lines{};  // by subset: what a proxy that is bound gets
};

// Some of the servers, all of whose lines each of some proxies has. It is of one zone or of all.
struct Subset {
    std::optional<ZoneId> zone{};
    RealVector dealt{}, held{};  // by pool: servers, and shares
    double rate = 0;             // RPCs a second of its proxies
    double fit = 0;              // below 0: its servers are jammed
    std::set<ProxyId> all{};
};

class RoutingTables {
 public:
    struct ByName {
        bool operator()(const RoutingEntry* one, const RoutingEntry* other) const {
            return *one->id < *other->id;
        }
    };
    using Entries = std::set<RoutingEntry*, ByName>;
    using Since = std::set<std::pair<TimePoint, RoutingEntry*>>;

    std::vector<TablePool> pools;
    std::map<ServerId, RoutingEntry> servers;
    std::vector<Subset> subsets;
    std::map<ProxyId, BoundProxy> bound;
    std::set<PendingChange> plan;
    Entries unsent;             // no table holds a line of them
    Entries cold, jammed;       // jammed: kept out though shares are published, until the next are
    Entries turning, repeated;  // on their way out or back; of whom a withdrawal is repeated
    Entries failing;            // fewer of their tries are ok than of a jammed server's
    Since leaving;              // on their way out, since it is due
    Since withdrawn;            // lately, by when
    Since departed;             // that nobody speaks of any more, since then
    std::set<std::size_t>
        unsettled;  // pools whose wanted shares the next plan scales, published anew or not
    std::set<std::size_t>
        scaled;  // pools whose wanted shares are not what the last published ones gave

    RoutingEntry& entry(const ServerId& server) {
        const auto [at, added] = servers.try_emplace(server);
        if (added) {
            at->second.id = &at->first;
            unsent.insert(&at->second);
        }
        return at->second;
    }
    void set_shares(RoutingEntry& entry,
                    const std::vector<std::pair<std::size_t, double>>& shares) {
        for (const auto& [pool, line] : entry.lines) {
            line->share = 0;
        }
        for (const auto& [pool, share] : shares) {
            line_in(pool, entry).share = share;
        }
        touch(entry);
    }
    // `heard`: for the last time, where it is not live.
    void set_live(RoutingEntry& entry, bool live, TimePoint heard) {
        departed.erase({entry.wished, &entry});
        entry.live = live;
        entry.wished = heard;
        if (!live) {
            departed.emplace(heard, &entry);
        }
    }
    void set_cold(RoutingEntry& entry, bool is) {
        entry.cold = is;
        put(cold, entry, is);
    }
    static void put(Entries& entries, RoutingEntry& entry, bool in) {
        in ? (void)entries.insert(&entry) : (void)entries.erase(&entry);
    }

    // Its pools are to be looked at in the next plan, and itself.
    void touch(RoutingEntry& entry) {
        for (const auto& [pool, line] : entry.lines) {
            touched_.insert(pool);
        }
        queue(entry);
    }
    void queue(RoutingEntry& entry) {
        if (!std::exchange(entry.queued, true)) {
            queued_.push_back(&entry);
        }
    }
    void queue(const Entries& entries) {
        for (RoutingEntry* const entry : entries) {
            queue(*entry);
        }
    }
    std::vector<RoutingEntry*> take_queued() {
        for (RoutingEntry* const entry : queued_) {
            entry->queued = false;
        }
        return std::exchange(queued_, {});
    }
    // The pools to look at; `fresh`: shares were published, what was jammed is looked at anew.
    std::set<std::size_t> take_touched(bool fresh) {
        if (fresh) {
            for (RoutingEntry* const entry : std::exchange(jammed, {})) {
                touch(*entry);
            }
        }
        std::set<std::size_t> pools = std::exchange(touched_, {});
        const auto& more = fresh ? scaled : unsettled;
        pools.insert(more.begin(), more.end());
        return pools;
    }

    // What a proxy that is bound gets of it, taken out while `change` is made.
    template <class AnyChange>
    void recount(RoutingEntry& entry, AnyChange change) {
        count(entry, -1);
        change();
        count(entry, 1);
    }
    // While no line is sent. `zones`: 1 where subsets are of all.
    void set_subsets(std::size_t number, int zones) {
        subsets.assign(number, {});
        for (int p = 0; p < std::ssize(subsets); ++p) {
            Subset& subset = subsets[static_cast<std::size_t>(p)];
            if (zones > 1) {
                subset.zone = ZoneId{p % zones};
            }
            subset.dealt = subset.held = RealVector(pools.size());
        }
        all_held_ = RealVector(pools.size());
        for (TablePool& pool : pools) {
            pool.bind_lines.assign(number, 0);
        }
        for (auto& [id, entry] : servers) {
            entry.subset = std::min(entry.subset, number - 1);
        }
    }
    // What each subset holds of these pools, anew.
    void add_up(const std::set<std::size_t>& pools) {
        for (const std::size_t k : pools) {
            add_up(k);
        }
        held_part_.clear();
    }
    // `sign` -1 takes it out again.
    void count_dealt(const RoutingEntry& entry, double sign) {
        for (const auto& [k, line] : entry.lines) {
            subsets[entry.subset].dealt[k] += line->wanted > 0 ? sign : 0;
        }
    }
    // What a subset holds of a pool that a zone's proxies use: the least part of any.
    double held_part(std::size_t subset, ZoneId zone) {
        const auto [at, added] = held_part_.try_emplace({subset, zone}, 1);
        double& least = at->second;
        for (std::size_t k = 0; added && subsets.size() > 1 && k < pools.size(); ++k) {
            const bool used = pools[k].binding.zone.value_or(zone) == zone;
            if (used && all_held_[k] > 0) {
                least = std::min(least, subsets[subset].held[k] / all_held_[k]);
            }
        }
        return least;
    }

    void bind(ProxyId proxy, const BoundProxy& as) {
        release(proxy);
        bound[proxy] = as;
        subsets[as.subset].all.insert(proxy);
        subsets[as.subset].rate += as.rate;
    }
    void release(ProxyId proxy) {
        const auto at = bound.extract(proxy);
        if (!at) {
            return;
        }
        Subset& its = subsets[at.mapped().subset];
        its.all.erase(proxy);
        its.rate -= at.mapped().rate;
    }

    // It should be out since then; absent: it is not on its way out.
    void set_leaving(RoutingEntry& entry, bool is, TimePoint due) {
        leaving.erase({std::exchange(entry.due, due), &entry});
        if (is) {
            leaving.emplace(due, &entry);
        }
    }
    // It is withdrawn or back now.
    void set_left(RoutingEntry& entry, TimePoint now) {
        leaving.erase({entry.due, &entry});
        withdrawn.erase({std::exchange(entry.left, now), &entry});
        if (entry.out) {
            withdrawn.emplace(now, &entry);
        }
    }
    // Nobody asks any more about those who were withdrawn by then.
    void drop_withdrawn(TimePoint until) {
        while (!withdrawn.empty() && withdrawn.begin()->first <= until) {
            withdrawn.erase(withdrawn.begin());
        }
    }

    void plan_turn(RoutingEntry& entry, int rank, double size) {
        for (const auto& [pool, line] : entry.lines) {
            drop(line->planned, *entry.id, static_cast<int>(pool));
        }
        plan_at(entry.turn, {rank, size, *entry.id, -1});
        turning.insert(&entry);
    }
    void drop_turn(RoutingEntry& entry) {
        drop(entry.turn, *entry.id, -1);
        turning.erase(&entry);
    }
    void plan_at(PlannedChange& planned, const PendingChange& change) {
        const auto& [rank, size, server, pool] = change;
        if (planned.rank == rank && planned.size == size) {
            return;
        }
        drop(planned, server, pool);
        planned = {rank, size};
        plan.insert(change);
    }
    void drop(PlannedChange& planned, const ServerId& server, int pool) {
        if (planned.rank >= 0) {
            plan.erase({planned.rank, planned.size, server, pool});
        }
        planned = {};
    }
    // Takes the first change off the plan; who it is about.
    RoutingEntry& take_first() {
        const auto [rank, size, server, pool] = *plan.begin();
        RoutingEntry& entry = servers.at(server);
        pool < 0
            ? drop_turn(entry)
            : drop(pools[static_cast<std::size_t>(pool)].lines.at(entry.id).planned, server, pool);
        return entry;
    }

    // Lines that say nothing any more.
    void drop_empty_lines(RoutingEntry& entry) {
        std::erase_if(entry.lines, [&](const auto& at) {
            const auto& [pool, line] = at;
            if (line->share != 0 || line->wanted != 0 || line->sent != 0) {
                return false;
            }
            drop(line->planned, *entry.id, static_cast<int>(pool));
            pools[pool].lines.erase(entry.id);
            return true;
        });
    }
    // One of which no table holds a line.
    void forget(RoutingEntry& entry) {
        drop_turn(entry);
        for (const auto& [pool, line] : entry.lines) {
            drop(line->planned, *entry.id, static_cast<int>(pool));
            pools[pool].lines.erase(entry.id);
            touched_.insert(pool);
        }
        for (Entries* entries : {&unsent, &cold, &jammed, &repeated, &failing}) {
            entries->erase(&entry);
        }
        leaving.erase({entry.due, &entry});
        withdrawn.erase({entry.left, &entry});
        departed.erase({entry.wished, &entry});
        if (entry.queued) {
            std::erase(queued_, &entry);
        }
        servers.erase(servers.find(*entry.id));
    }

 private:
    TableEntry& line_in(std::size_t pool, RoutingEntry& entry) {
        const auto [at, added] = pools[pool].lines.try_emplace(entry.id, TableEntry{&entry});
        if (added) {
            entry.lines.emplace_back(pool, &at->second);
            std::sort(entry.lines.begin(), entry.lines.end());
        }
        return at->second;
    }
    void add_up(std::size_t k) {
        for (Subset& subset : subsets) {
            subset.dealt[k] = subset.held[k] = 0;
        }
        for (const auto& [id, line] : pools[k].lines) {
            if (line.entry->sent() == 0) {
                continue;
            }
            Subset& its = subsets[line.entry->subset];
            its.held[k] += line.wanted;
            its.dealt[k] += line.wanted > 0;
        }
        all_held_[k] = 0;
        for (const Subset& subset : subsets) {
            all_held_[k] += subset.held[k];
        }
    }
    // Who is out is shut out with its line; who may be shut out at a proxy is let back.
    void count(RoutingEntry& entry, double sign) {
        for (const auto& [pool, line] : entry.lines) {
            if (line->sent > 0) {
                pools[pool].bind_lines[entry.subset] += sign * (entry.out || entry.shaky ? 2 : 1);
            }
        }
    }

    RealVector all_held_;  // by pool, of all subsets
    std::map<std::pair<std::size_t, ZoneId>, double>
        held_part_;  // as far as asked for since shares were added up
    std::set<std::size_t> touched_;
    std::vector<RoutingEntry*> queued_;
};

}  // namespace micaroad::decision
