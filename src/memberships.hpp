// Which servers each pool holds, and what each server has in each of its pools: containers and look-ups that are kept
// by changes, so that nobody has to walk all servers or all pools. They decide nothing: weights, shares and ceilings are
// set by balance.cpp.
#pragma once

#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "figures.hpp"
#include "notes.hpp"

namespace micaroad {

struct Member;

// Orders servers by their names, without a copy of these.
struct ByServer {
    bool operator()(const ServerId* one, const ServerId* other) const { return *one < *other; }
};

// A server in one pool. The place stays while the server is open, also where a new kind or zone took the server out of
// the pool: its size counts as 0 there.
struct Place {
    Member* member = nullptr;
    double weight = 0;  // of the softmax, a logarithm
    double share = 0;   // of the pool, as published
};

// A server that is listed, or was until a moment ago.
struct Member {
    const ServerId* id = nullptr;
    Standing seen{};
    double entering = 0;  // its weight in every pool in which it has no place
    std::vector<std::pair<std::size_t, Place*>> places{};  // by pool, in their order
    bool trusted = false, doubted = false;
    bool cold = false;    // as published
    bool warming = false, queued = false;  // in the lists of these
    std::size_t index = 0;                 // among the open servers of a step
};

struct WeighedPool {
    Binding binding;
    Method like;
    double part = 1;  // of the traffic
    std::map<const ServerId*, Place, ByServer> places{};
    double outside = 0;  // as it was when the pool's shares were last published
};

// The open servers of a pool in the order of their names, with a figure of each in every row.
struct PoolRows {
    std::size_t pool = 0;
    std::vector<Place*> places{};
    std::vector<std::size_t> index{};  // among the open servers of a step
    Row weight{}, share{}, size{};     // share: as published; size: 0 where the pool is not open to the server
    Row most{};                        // the ceiling of its share; filled in by who decides
    double sizes = 0;                  // the sum of `size`
    double outside = 0;  // the highest weight of an open server without a place here; -infinity: there is none
};

class Memberships {
 public:
    std::vector<WeighedPool> pools;
    std::vector<Member*> warming;  // that have a start and were not found warm yet

    // After `pools` is complete.
    void index_pools() {
        for (std::size_t k = 0; k < pools.size(); ++k) {
            const std::vector<KindId>& kinds = pools[k].like.only_kinds;
            if (kinds.empty()) open_to_any_kind_.push_back(k);
            for (const KindId kind : std::set(kinds.begin(), kinds.end())) by_kind_[kind].push_back(k);
        }
    }

    bool empty() const { return members_.empty(); }
    std::pair<Member&, bool> member(const ServerId& server) {  // true: it was not held
        const auto [at, added] = members_.try_emplace(server);
        if (added) at->second.id = &at->first;
        return {at->second, added};
    }
    // Open servers in the order of their names; each is told its index.
    std::vector<Member*> open() {
        std::vector<Member*> open;
        open.reserve(by_entering_.size());
        for (auto& [id, member] : members_) {
            if (!member.seen.open) continue;
            member.index = open.size();
            open.push_back(&member);
        }
        return open;
    }

    // Takes over what a server says of itself. `entering`: its weight where it opens now.
    void update(Member& member, const Standing& now, bool doubted, double entering) {
        const Standing& was = member.seen;
        const bool opens = now.open && !was.open, closes = was.open && !now.open;
        const bool moves = now.entry.kind != was.entry.kind || now.entry.zone != was.entry.zone;
        const bool same = !opens && !closes && !moves && doubted == member.doubted && now.steady == was.steady &&
                          now.gone() == was.gone() && now.entry.size == was.entry.size &&
                          now.entry.last_start == was.entry.last_start;
        if (closes) by_entering_.erase({member.entering, &member}), entering_changed_ = true;
        if (opens) enter(member, entering);
        member.seen = now, member.doubted = doubted;
        if (now.open && (opens || moves)) join_pools(member);
        if (now.entry.last_start && !std::exchange(member.warming, true)) warming.push_back(&member);
        if (!same) queue(member), touch(member);
    }
    // A new weight where it has no place.
    void set_entering(Member& member, double weight) {
        if (weight == member.entering) return;
        by_entering_.erase({member.entering, &member});
        member.entering = weight, entering_changed_ = true;
        by_entering_.emplace(weight, &member);
    }

    // Its figures are to be published again.
    void queue(Member& member) {
        if (!std::exchange(member.queued, true)) queued_.push_back(&member);
    }
    std::vector<Member*> take_queued() {
        for (Member* const member : queued_) member->queued = false;
        return std::exchange(queued_, {});
    }
    // The shares of its pools, or of all, are to be worked out again.
    void touch(const Member& member) {
        for (const auto& [pool, place] : member.places) touched_.insert(pool);
    }
    void touch_all() {
        for (std::size_t k = 0; k < pools.size(); ++k) {
            if (!pools[k].places.empty()) touched_.insert(k);
        }
    }
    std::set<std::size_t> take_touched() {
        touch_by_outside();
        return std::exchange(touched_, {});
    }

    void publish(const PoolRows& rows, const Row& shares) {
        WeighedPool& pool = pools[rows.pool];
        pool.outside = rows.outside;
        const bool odd = by_entering_.empty() || pool.outside != by_entering_.rbegin()->first;
        odd ? (void)odd_.insert(rows.pool) : (void)odd_.erase(rows.pool);
        for (std::size_t i = 0; i < rows.places.size(); ++i) {
            Place& place = *rows.places[i];
            if (std::exchange(place.share, shares[i]) != shares[i]) queue(*place.member);
        }
    }
    // One that has closed leaves its pools.
    void leave_pools(Member& member) {
        for (const auto& [pool, place] : member.places) pools[pool].places.erase(member.id);
        member.places.clear();
    }
    // One that left its pools.
    void erase(Member& member) {
        if (member.warming) std::erase(warming, &member);
        members_.erase(members_.find(*member.id));
    }

    // All rows but `most`.
    PoolRows rows_of(std::size_t number) {
        WeighedPool& pool = pools[number];
        PoolRows rows{number};
        rows.places.reserve(pool.places.size());
        for (auto& [id, place] : pool.places) {
            if (place.member->seen.open) rows.places.push_back(&place);
        }
        rows.index.reserve(rows.places.size());
        for (const Place* const place : rows.places) rows.index.push_back(place->member->index);
        rows.weight = row_of(rows.places, [](const Place& place) { return place.weight; });
        rows.share = row_of(rows.places, [](const Place& place) { return place.share; });
        rows.size = row_of(rows.places, [&pool](const Place& place) {
            const ListedServer& entry = place.member->seen.entry;
            return open_to(pool.like, pool.binding.zone, entry) ? entry.size : 0;
        });
        rows.sizes = rows.places.empty() ? 0 : rows.size.sum();
        rows.outside = outside(pool);
        return rows;
    }

 private:
    void enter(Member& member, double weight) {
        member.entering = weight, entering_changed_ = true;
        by_entering_.emplace(weight, &member);
        for (const auto& [pool, place] : member.places) place->weight = weight;
    }
    void join_pools(Member& member) {
        std::vector<std::size_t> candidates = open_to_any_kind_;
        if (const auto at = by_kind_.find(member.seen.entry.kind); at != by_kind_.end())
            candidates.insert(candidates.end(), at->second.begin(), at->second.end());
        for (const std::size_t k : candidates) {
            WeighedPool& pool = pools[k];
            if (!open_to(pool.like, pool.binding.zone, member.seen.entry)) continue;
            const auto [at, added] = pool.places.try_emplace(member.id, Place{&member, member.entering, 0});
            if (added) member.places.emplace_back(k, &at->second);
        }
        std::sort(member.places.begin(), member.places.end());
    }

    // Where sums are rounded depends on the highest weight of all open servers, so a pool's shares depend, by a rounding,
    // on servers outside it. Nearly always the highest is the same before and after, and then only pools that may hold
    // all servers of that weight have to be looked at.
    double outside(const WeighedPool& pool) const {
        if (pool.places.size() >= by_entering_.size() && holds_all(pool)) return -kInfinity;
        for (auto at = by_entering_.rbegin(); at != by_entering_.rend(); ++at) {
            if (!pool.places.contains(at->second->id)) return at->first;
        }
        return -kInfinity;
    }
    bool holds_all(const WeighedPool& pool) const {
        std::size_t open = 0;
        for (const auto& [id, place] : pool.places) open += place.member->seen.open;
        return open == by_entering_.size();
    }
    void touch_by_outside() {
        if (!std::exchange(entering_changed_, false) || by_entering_.empty()) return;
        const auto& [highest, its] = *by_entering_.rbegin();
        if (std::exchange(highest_, highest) != highest) return touch_all();
        std::set<std::size_t> suspects = odd_;
        for (const auto& [pool, place] : its->places) suspects.insert(pool);
        for (const std::size_t k : suspects) {
            if (outside(pools[k]) != pools[k].outside) touched_.insert(k);
        }
    }

    static constexpr double kInfinity = std::numeric_limits<double>::infinity();
    std::map<ServerId, Member> members_;
    std::map<KindId, std::vector<std::size_t>> by_kind_;
    std::vector<std::size_t> open_to_any_kind_;
    std::set<std::pair<double, Member*>> by_entering_;  // the open ones
    std::set<std::size_t> odd_;  // pools whose `outside` is not the highest weight of all
    double highest_ = 0;
    bool entering_changed_ = false;
    std::set<std::size_t> touched_;
    std::vector<Member*> queued_;
};

}  // namespace micaroad
