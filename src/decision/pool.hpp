/// Plain data: pools, their members and snapshots of pools. PoolMemberships keeps it consistent.
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

/// The entry of an endpoint in one pool. It remains while the endpoint is open, even if the
/// endpoint may no longer serve the pool after a change of its kind or zone; its size then counts
/// as 0.
struct PoolPlace {
    PoolMember* member = nullptr;  ///< owned by PoolMemberships
    double weight = 0;             ///< logarithmic: the softmax of the weights gives the shares
    double share = 0;              ///< fraction of the pool's traffic, as last published
};

/// A place of a member and the index of its pool.
struct PlaceInPool {
    std::size_t pool = 0;
    PoolPlace* place = nullptr;  ///< owned by the pool
};

/// An endpoint that is listed or was removed from the list a short time ago.
struct PoolMember {
    const ServerId* server = nullptr;  ///< points to its key in PoolMemberships
    EndpointStatus status{};
    double initial_weight = 0;        ///< its weight in pools that it joins
    std::vector<PlaceInPool> places;  ///< by ascending pool index
    bool trusted = false;             ///< never on probation
    bool on_probation = false;        ///< all its attempts have failed so far
    bool cold = false;                ///< warming up, as last published
    bool in_warming_list = false;
    bool in_publish_queue = false;
    std::optional<std::size_t> step_index;  ///< index in the current optimizer step
};

/// Compares servers by name through pointers, which avoids copies of the names.
struct ByServer {
    bool operator()(const ServerId* left, const ServerId* right) const { return *left < *right; }
};

/// A pool of methods that may be sent to the same endpoints.
struct Pool {
    PoolBinding binding;
    Method method;  ///< any method of the pool: the same endpoints may serve all of them
    double traffic_fraction = 1;  ///< fraction of all admitted RPCs
    std::map<const ServerId*, PoolPlace, ByServer> places;
};

/// The open endpoints of a pool, sorted by name. Each vector has one element per endpoint. The
/// pointers are valid until an endpoint leaves the pool.
struct PoolSnapshot {
    std::vector<PoolPlace*> places;
    std::vector<std::size_t> step_indices;  ///< 0 for endpoints that are not in the step
    RealVector weights;
    RealVector published_shares;  ///< normalized to a sum of 1, unless all are 0
    RealVector sizes;             ///< 0 for endpoints that may no longer serve the pool
    double size_sum = 0;
    RealVector share_limits;  ///< upper bounds, see SlowStart; 1 or more: no bound
};

}  // namespace micaroad::decision
