/// Which endpoints each pool holds, and what each endpoint has in each of its pools. Containers and
/// indexes are updated by changes, so that nobody has to walk all endpoints or all pools. Nothing
/// is decided here: WeightOptimizer sets weights and shares.
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

/// Which endpoints of a pool a snapshot holds.
enum class SnapshotScope {
    open_endpoints,
    endpoints_of_step,  ///< open, and numbered by PoolMemberships::number_endpoints
};

/// The pools of a deployment and their members. Not thread-safe.
class PoolMemberships {
 public:
    /// Methods that are alike in who may serve them share a pool; one that keeps to its own zone
    /// has a pool for each zone. A deployment with slices has no pools.
    explicit PoolMemberships(const DeploymentSettings& settings);

    [[nodiscard]] const std::vector<Pool>& pools() const { return pools_; }
    [[nodiscard]] bool empty() const { return members_.empty(); }

    struct FoundMember {
        PoolMember& member;
        bool added = false;
    };
    /// The member of a server, which is added if there is none. It stays valid until `take_weights`
    /// erases it.
    FoundMember find_or_add(const ServerId& server);

    /// Takes over the status of a member. `initial_weight`: its weight if it opens now.
    void update(PoolMember& member, const EndpointStatus& status, bool on_probation,
                double initial_weight);

    /// Sets the traffic fractions of the pools that get RPCs. `rates`: RPCs per second by method.
    void update_traffic(const RealVector& rates);

    /// Open endpoints in the order of their names.
    [[nodiscard]] std::vector<PoolMember*> open_members();

    /// Sets the `step_index` of the endpoints of a step, which are some of the open ones, and
    /// resets that of all others.
    static void number_endpoints(const std::vector<PoolMember*>& open,
                                 const std::vector<PoolMember*>& of_step);

    /// The endpoints of a pool; share limits are left to the caller.
    [[nodiscard]] PoolSnapshot snapshot(std::size_t pool_index, SnapshotScope scope);

    /// Lowers the weights of the snapshots' places by `fraction` of `decreases`, which has a vector
    /// for each snapshot. No weight falls below the logarithm of the endpoint's size plus
    /// `log_floor`; this holds for the initial weights of the endpoints of the step too.
    void lower_weights(const std::vector<PoolMember*>& of_step,
                       const std::vector<PoolSnapshot>& snapshots, double fraction,
                       const std::vector<RealVector>& decreases, double log_floor);

    /// Marks the pools of all members that were not yet found warm: their share limits rise with
    /// age. Returns whether any open endpoint is still cold.
    bool refresh_warming(const SlowStart& slow_start);

    /// Takes over the shares of a snapshot's endpoints; those that change are to be published.
    void set_shares(const PoolSnapshot& snapshot, const RealVector& shares);

    /// The figures of `member` are to be published again.
    void queue_for_publishing(PoolMember& member);
    [[nodiscard]] std::vector<PoolMember*> take_publish_queue();

    /// Pools whose shares are to be computed again, by ascending index.
    [[nodiscard]] std::set<std::size_t> take_stale_pools();

    /// What is to be published of a member. One that has closed leaves its pools; one that is gone
    /// is erased.
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
    std::vector<PoolMember*> warming_;        // with a start, not yet found warm
    std::vector<PoolMember*> publish_queue_;  // in the order of their changes
};

}  // namespace micaroad::decision
