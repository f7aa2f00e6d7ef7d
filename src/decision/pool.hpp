/// Pools, their members and snapshots of them: plain data. PoolMemberships keeps it consistent.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "decision/messages.hpp"
#include "decision/queue_model.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

struct PoolMember;

/// An endpoint in one pool. The place stays while the endpoint is open, also where a new kind or
/// zone took it out of the pool: its size counts as 0 there.
struct PoolPlace {
    PoolMember* member = nullptr;  ///< owned by PoolMemberships
    double weight = 0;             ///< logarithm: the softmax over the weights gives the shares
    double share = 0;              ///< of the pool's traffic, as published
};

/// A place of a member and the index of its pool.
struct PlaceInPool {
    std::size_t pool = 0;
    PoolPlace* place = nullptr;  ///< owned by the pool
};

/// An endpoint that is listed, or was until a moment ago.
struct PoolMember {
    const ServerId* server = nullptr;  ///< the key under which PoolMemberships holds it
    EndpointStatus status{};
    double initial_weight = 0;        ///< its weight in every pool in which it has no place yet
    std::vector<PlaceInPool> places;  ///< by ascending pool index
    bool trusted = false;             ///< never on probation
    bool on_probation = false;        ///< all its attempts have failed so far
    bool cold = false;                ///< warming up, as published
    bool in_warming_list = false;
    bool in_publish_queue = false;
    std::optional<std::size_t> step_index;  ///< among the endpoints of the current optimizer step
};

/// Orders servers by name without copies of the names.
struct ByServer {
    bool operator()(const ServerId* left, const ServerId* right) const { return *left < *right; }
};

/// Methods that may go to the same endpoints share a pool.
struct Pool {
    PoolBinding binding;
    Method method;                ///< any method of the pool: they are alike in who may serve them
    double traffic_fraction = 1;  ///< of all admitted RPCs
    std::map<const ServerId*, PoolPlace, ByServer> places;
};

/// The open endpoints of a pool in the order of their names. Each vector has an element for each
/// endpoint. Places stay valid until an endpoint leaves the pool.
struct PoolSnapshot {
    std::vector<PoolPlace*> places;
    std::vector<std::size_t> step_indices;  ///< 0 where the endpoint is not one of the step
    RealVector weights;
    RealVector published_shares;  ///< normalized to a sum of 1, unless all are 0
    RealVector sizes;             ///< 0 where the endpoint may no longer serve the pool
    double size_sum = 0;
    RealVector share_limits;  ///< upper bounds; 1 and more: none. See SlowStart
};

}  // namespace micaroad::decision
