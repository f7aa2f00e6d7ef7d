// Which servers each pool holds, and what each server has in each of its pools: containers and
// look-ups that are kept by changes, so that nobody has to walk all servers or all pools. They
// decide nothing: weights, shares and ceilings are set by balance.hpp.
#pragma once

#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/messages.hpp"
#include "decision/numeric.hpp"

namespace micaroad::decision {

struct PoolMember;

// Orders servers by their names, without a copy of these.
struct ByServer {
    bool operator()(const ServerId* one, const ServerId* other) const { return *one < *other; }
};

// A server in one pool. The place stays while the server is open, also where a new kind or zone
// took the server out of the pool: its size counts as 0 there.
struct PoolPlace {
    PoolMember* member = nullptr;
    double weight = 0;  // of the softmax, a logarithm
    double share = 0;   // of the pool, as published
};

// A server that is listed, or was until a moment ago.
struct PoolMember {
    const ServerId* id = nullptr;
    EndpointStatus seen{};
    double entering = 0;  // its weight in every pool in which it has no place
    std::vector<std::pair<std::size_t, PoolPlace*>> places{};  // by pool, in their order
    bool trusted = false, doubted = false;
    bool cold = false;                     // as published
    bool warming = false, queued = false;  // in the lists of these
    std::optional<std::size_t> index{};  // among the servers of a step; none: it is not one of them
};

struct WeighedPool {
    PoolBinding binding;
    Method like;
    double part = 1;  // of the traffic
    std::map<const ServerId*, PoolPlace, ByServer> places{};
};

// The open servers of a pool in the order of their names, with a figure of each in every row.
struct PoolRows {
    std::size_t pool = 0;
    std::vector<PoolPlace*> places{};
    std::vector<std::size_t> index{};  // among the servers of a step
    // Share: as published, as a part of the sum of these; size: 0 where the pool is not open to the
    // server.
    RealVector weight{}, share{}, size{};
    RealVector most{};  // the ceiling of its share
    double sizes = 0;   // the sum of `size`
};

// Adds to the rate of each open server what comes more where a pool's shares move on from the
// published ones. `rate`: of the pool's RPCs, a second.
inline void add_moves(const PoolRows& pool, const RealVector& shares, double rate, RealVector& to) {
    for (std::size_t i = 0; i < shares.size(); ++i) {
        to[pool.index[i]] += rate * (shares[i] - pool.share[i]);
    }
}

// The square of the distance between two rows.
inline double moved(const RealVector& from, const RealVector& to) {
    return to.size() > 0 ? std::pow(to - from, 2.0).sum() : 0;
}

// Shares by softmax over the weights, none of a server of size 0. What is over a ceiling is dealt
// among those that have none, by their shares; where all have one, no ceiling holds.
inline RealVector capped_softmax(const PoolRows& pool, const RealVector& weight) {
    if (pool.sizes == 0) {
        return RealVector(pool.places.size());
    }
    RealVector share = std::exp(weight - RealVector(weight[pool.size > 0.0]).max());
    share[pool.size == 0.0] = 0;
    share /= share.sum();
    RealVector eased = share, free = share;
    for (std::size_t i = 0; i < share.size(); ++i) {
        (pool.most[i] < 1 ? free : eased)[i] = 0;
        eased[i] = std::min(eased[i], pool.most[i]);
    }
    return free.sum() > 0 ? RealVector(eased + free * (1 - eased.sum()) / free.sum()) : share;
}

class PoolMemberships {
 public:
    std::vector<WeighedPool> pools;

    // Methods that are open alike share a pool; one that keeps to its own zone has a pool for each.
    explicit PoolMemberships(const DeploymentSettings& settings) {
        using Openness =
            std::tuple<std::vector<KindId>, std::vector<ZoneId>, std::optional<ZoneId>>;
        std::map<Openness, std::size_t> known;
        for (int m = 0; m < std::ssize(settings.methods) && settings.slice_count == 0; ++m) {
            const Method& method = settings.methods[m];
            for (int zone = 0; zone < (method.own_zone_only ? settings.zone_count : 1); ++zone) {
                const auto home = method.own_zone_only ? std::optional{ZoneId{zone}} : std::nullopt;
                const Openness openness{method.only_kinds, method.only_zones, home};
                const auto [at, added] = known.try_emplace(openness, pools.size());
                if (added) {
                    add_pool(method, home);
                }
                pools[at->second].binding.methods.push_back(MethodId{m});
            }
        }
    }

    bool empty() const { return members_.empty(); }
    std::pair<PoolMember&, bool> member(const ServerId& server) {  // true: it was not held
        const auto [at, added] = members_.try_emplace(server);
        if (added) {
            at->second.id = &at->first;
        }
        return {at->second, added};
    }
    // Open servers in the order of their names.
    std::vector<PoolMember*> open() {
        std::vector<PoolMember*> open;
        for (auto& [id, member] : members_) {
            if (member.seen.open) {
                open.push_back(&member);
            }
        }
        return open;
    }
    // Numbers the servers of a step, which are some of the open ones.
    static void number(const std::vector<PoolMember*>& open,
                       const std::vector<PoolMember*>& of_step) {
        for (PoolMember* const member : open) {
            member->index.reset();
        }
        for (std::size_t i = 0; i < of_step.size(); ++i) {
            of_step[i]->index = i;
        }
    }

    // Takes over what a server says of itself. `entering`: its weight where it opens now.
    void update(PoolMember& member, const EndpointStatus& now, bool doubted, double entering) {
        const EndpointStatus& was = member.seen;
        const bool opens = now.open && !was.open, closes = was.open && !now.open;
        const bool moves = now.entry.kind != was.entry.kind || now.entry.zone != was.entry.zone;
        const bool same = !opens && !closes && !moves && doubted == member.doubted &&
                          now.steady == was.steady && now.gone() == was.gone() &&
                          now.entry.size == was.entry.size &&
                          now.entry.last_start == was.entry.last_start;
        if (opens) {
            enter(member, entering);
        }
        member.seen = now;
        member.doubted = doubted;
        if (now.open && (opens || moves)) {
            join_pools(member);
        }
        if (now.entry.last_start && !std::exchange(member.warming, true)) {
            warming_.push_back(&member);
        }
        if (same) {
            return;
        }
        queue(member);
        touch(member);
    }
    // Takes so much of `downhill` off the weights, where they stay above a member's `least`.
    template <class Least>
    void move(const std::vector<PoolMember*>& open, const std::vector<PoolRows>& rows, double part,
              const std::vector<RealVector>& downhill, Least least) {
        for (std::size_t k = 0; k < rows.size(); ++k) {
            for (std::size_t i = 0; i < rows[k].places.size(); ++i) {
                PoolPlace& place = *rows[k].places[i];
                place.weight = std::max(place.weight - part * downhill[k][i], least(*place.member));
            }
        }
        for (PoolMember* const member : open) {
            member->entering = std::max(member->entering, least(*member));
        }
        touch_all();
    }

    // Touches the pools of members with a start that were not found warm yet. `warmth`: by age, at
    // least 1: warm. True: an open one is cold.
    template <class Warmth>
    bool age(Warmth warmth) {
        bool any_cold = false;
        std::erase_if(warming_, [&](PoolMember* member) {
            const double its = warmth(*member);
            any_cold |= its < 1 && member->seen.open;
            if ((its < 1) != member->cold) {
                queue(*member);
            }
            touch(*member);
            member->warming = !(its >= 1);
            return !member->warming;
        });
        return any_cold;
    }

    // Its figures are to be published again.
    void queue(PoolMember& member) {
        if (!std::exchange(member.queued, true)) {
            queued_.push_back(&member);
        }
    }
    std::vector<PoolMember*> take_queued() {
        for (PoolMember* const member : queued_) {
            member->queued = false;
        }
        return std::exchange(queued_, {});
    }
    // The shares of its pools, or of all, are to be worked out again.
    void touch(const PoolMember& member) {
        for (const auto& [pool, place] : member.places) {
            touched_.insert(pool);
        }
    }
    void touch_all() {
        for (const std::size_t k : peopled()) {
            touched_.insert(k);
        }
    }
    std::set<std::size_t> take_touched() { return std::exchange(touched_, {}); }

    void publish(const PoolRows& rows, const RealVector& shares) {
        for (std::size_t i = 0; i < rows.places.size(); ++i) {
            PoolPlace& place = *rows.places[i];
            if (std::exchange(place.share, shares[i]) != shares[i]) {
                queue(*place.member);
            }
        }
    }
    // What there is to tell of one whose figures changed. One that has closed leaves its pools; one
    // that is gone is forgotten.
    DesiredWeights take_wish(PoolMember& member) {
        const EndpointStatus& seen = member.seen;
        if (!seen.open) {
            leave_pools(member);
        }
        DesiredWeights wish{seen.entry.server, seen.entry.zone, {},
                            seen.steady,       member.cold,     seen.gone()};
        for (const auto& [pool, place] : member.places) {
            if (place->share != 0) {
                wish.shares.emplace_back(pool, place->share);
            }
        }
        if (wish.last) {
            erase(member);
        }
        return wish;
    }

    // The pools that hold a server.
    std::vector<std::size_t> peopled() const {
        std::vector<std::size_t> peopled;
        for (std::size_t k = 0; k < pools.size(); ++k) {
            if (!pools[k].places.empty()) {
                peopled.push_back(k);
            }
        }
        return peopled;
    }
    // `numbered`: only those of the step. `ceiling`: of a member's share, by its part of the sizes.
    template <class Ceiling>
    PoolRows rows_of(std::size_t number, bool numbered, Ceiling ceiling) {
        WeighedPool& pool = pools[number];
        PoolRows rows{number};
        rows.places.reserve(pool.places.size());
        for (auto& [id, place] : pool.places) {
            if (place.member->seen.open && (!numbered || place.member->index)) {
                rows.places.push_back(&place);
            }
        }
        rows.index.reserve(rows.places.size());
        for (const PoolPlace* const place : rows.places) {
            rows.index.push_back(place->member->index.value_or(0));
        }
        rows.weight = row_of(rows.places, [](const PoolPlace& place) { return place.weight; });
        rows.share = parts_of(rows.places, [](const PoolPlace& place) { return place.share; });
        rows.size = row_of(rows.places, [&pool](const PoolPlace& place) {
            const ListedEndpoint& entry = place.member->seen.entry;
            return open_to(pool.like, pool.binding.zone, entry) ? entry.size : 0;
        });
        rows.sizes = rows.places.empty() ? 0 : rows.size.sum();
        rows.most = RealVector(rows.places.size());
        for (std::size_t i = 0; i < rows.places.size(); ++i) {
            rows.most[i] = ceiling(*rows.places[i]->member, rows.size[i] / rows.sizes);
        }
        return rows;
    }

 private:
    void add_pool(const Method& like, std::optional<ZoneId> home) {
        const std::size_t number = pools.size();
        WeighedPool& pool = pools.emplace_back();
        pool.binding.table = {static_cast<int>(number) + 1};
        pool.binding.zone = home;
        pool.like = like;
        if (like.only_kinds.empty()) {
            open_to_any_kind_.push_back(number);
        }
        for (const KindId kind : std::set(like.only_kinds.begin(), like.only_kinds.end())) {
            by_kind_[kind].push_back(number);
        }
    }
    void enter(PoolMember& member, double weight) {
        member.entering = weight;
        for (const auto& [pool, place] : member.places) {
            place->weight = weight;
        }
    }
    void join_pools(PoolMember& member) {
        std::vector<std::size_t> candidates = open_to_any_kind_;
        if (const auto at = by_kind_.find(member.seen.entry.kind); at != by_kind_.end()) {
            candidates.insert(candidates.end(), at->second.begin(), at->second.end());
        }
        for (const std::size_t k : candidates) {
            WeighedPool& pool = pools[k];
            if (!open_to(pool.like, pool.binding.zone, member.seen.entry)) {
                continue;
            }
            const auto [at, added] =
                pool.places.try_emplace(member.id, PoolPlace{&member, member.entering, 0});
            if (added) {
                member.places.emplace_back(k, &at->second);
            }
        }
        std::sort(member.places.begin(), member.places.end());
    }

    void leave_pools(PoolMember& member) {
        for (const auto& [pool, place] : member.places) {
            pools[pool].places.erase(member.id);
        }
        member.places.clear();
    }
    void erase(PoolMember& member) {
        if (member.warming) {
            std::erase(warming_, &member);
        }
        members_.erase(members_.find(*member.id));
    }

    std::map<ServerId, PoolMember> members_;
    std::map<KindId, std::vector<std::size_t>> by_kind_;
    std::vector<std::size_t> open_to_any_kind_;
    std::set<std::size_t> touched_;
    std::vector<PoolMember*> warming_, queued_;
};

}  // namespace micaroad::decision
