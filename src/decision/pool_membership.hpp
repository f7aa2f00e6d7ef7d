/// Stores which endpoints each pool contains, and the weight and share of each endpoint in each of
/// its pools. Containers and indexes are updated incrementally, so that no caller has to iterate
/// over all endpoints or all pools. WeightOptimizer decides on weights and shares.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "decision/messages.hpp"
#include "decision/pool.hpp"
#include "decision/slow_start.hpp"
#include "micaroad/types.hpp"

namespace micaroad::decision {

/// Which endpoints of a pool a snapshot contains.
enum class SnapshotScope {
    open_endpoints,
    endpoints_of_step,  ///< open, and with an index from PoolMemberships::assign_step_indices
};

/// The pools of a deployment and their members. Not thread-safe.
class PoolMemberships {
 public:
    /// Methods that the same endpoints may serve share a pool; a method that proxies send only
    /// within their own zone has one pool per zone. A deployment with slices has no pools.
    explicit PoolMemberships(const DeploymentSettings& settings);

    [[nodiscard]] const std::vector<Pool>& pools() const { return pools_; }
    [[nodiscard]] bool empty() const { return members_.empty(); }

    struct FoundMember {
        PoolMember& member;
        bool added = false;
    };
    /// Returns the member of a server, and adds one if there is none. The reference is valid until
    /// `take_weights` erases the member.
    FoundMember find_or_add(const ServerId& server);

    /// Stores the status of a member. `initial_weight`: its weight in all its pools if it opens
    /// now.
    void update(PoolMember& member, const EndpointStatus& status, bool on_probation,
                double initial_weight);

    /// Sets the traffic fractions of the pools that get RPCs. `rates`: RPCs per second by method.
    void update_traffic(const RealVector& rates);

    /// The open endpoints, sorted by name.
    [[nodiscard]] std::vector<PoolMember*> open_members();

    /// Sets the `step_index` of the endpoints of a step, a subset of the open ones, and resets that
    /// of all other open endpoints.
    static void assign_step_indices(const std::vector<PoolMember*>& open,
                                    const std::vector<PoolMember*>& step_members);

    /// The endpoints of a pool; the caller sets the share limits.
    [[nodiscard]] PoolSnapshot snapshot(std::size_t pool_index, SnapshotScope scope);

    /// Lowers the weights of all places in the snapshots by `fraction` times `decreases`, which has
    /// one vector per snapshot. No weight falls below the logarithm of the endpoint's size plus
    /// `log_floor`; the initial weights of the endpoints of the step are raised to that minimum,
    /// too.
    void lower_weights(const std::vector<PoolMember*>& step_members,
                       const std::vector<PoolSnapshot>& snapshots, double fraction,
                       const std::vector<RealVector>& decreases, double log_floor);

    /// Marks the pools of all members that may be warming up as stale, as share limits rise with
    /// age. Returns whether any open endpoint is still cold.
    bool refresh_warming(const SlowStart& slow_start);

    /// Stores the shares of a snapshot's endpoints, and queues the members whose share has changed
    /// for publishing.
    void set_shares(const PoolSnapshot& snapshot, const RealVector& shares);

    /// Adds a member to the publish queue, unless it is already queued.
    void queue_for_publishing(PoolMember& member);
    /// Returns the publish queue, in the order of the changes, and empties it.
    [[nodiscard]] std::vector<PoolMember*> take_publish_queue();

    /// Returns the indices of the pools whose shares must be recomputed, and clears the marks.
    [[nodiscard]] std::set<std::size_t> take_stale_pools();

    /// Returns what to publish of a member. A closed member is removed from its pools; a member
    /// that is gone is erased.
    [[nodiscard]] DesiredWeights take_weights(PoolMember& member);

 private:
    void add_pool(const Method& method, std::optional<ZoneId> home_zone);
    static void set_initial_weight(PoolMember& member, double weight);
    void join_pools(PoolMember& member);
    void leave_pools(PoolMember& member);
    void erase(PoolMember& member);
    void mark_pools_stale(const PoolMember& member);
    void mark_all_pools_stale();

    std::vector<Pool> pools_;
    std::map<ServerId, PoolMember> members_;
    std::map<KindId, std::vector<std::size_t>> pools_by_kind_;
    std::vector<std::size_t> pools_of_any_kind_;
    std::set<std::size_t> stale_pools_;
    std::vector<PoolMember*>
        warming_;  // members with a start time that were not yet warm when last checked
    std::vector<PoolMember*> publish_queue_;  // in the order of their changes
};

}  // namespace micaroad::decision
