/// The changes of one decision for one proxy, independent of any protocol; src/protocol/ encodes
/// them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad {

/// The changes of one decide() for one proxy, sent as one message and applied atomically.
///
/// The proxy applies tables first: a full table clears the admissions of its methods. A method is
/// in at most one table of an update.
struct ProxyUpdate {
    /// The servers to which the proxy may send some methods.
    struct Table {
        std::set<MethodId> methods;
        /// True: replaces the proxy's entries and admissions for the methods; false: changes only
        /// the entries in `lines`.
        bool full = false;
        /// The table entries: weight relative to the others; 0 removes the entry.
        std::map<ServerId, double> lines;
    };
    /// Admission and retry policy of one method.
    struct Admission {
        double amount = 1;  ///< in the deployment's AdmissionKind: a fraction, or RPCs per second
        RetryPolicy retry_policy = RetryPolicy::never;
        auto operator<=>(const Admission&) const = default;
    };

    ProxyId proxy;
    std::vector<Table> tables;
    std::map<MethodId, Admission> admissions;
    /// True: withdrawn, regardless of the tables; false: reinstated. A proxy keeps this state
    /// across streams and planners.
    std::map<ServerId, bool> withdrawn;
    std::optional<Nonce> nonce;  ///< if present, the proxy must acknowledge the update

    /// The update's load on the control channel in lines (see DeploymentSettings), without the
    /// overhead of the message.
    [[nodiscard]] std::size_t channel_lines() const {
        std::size_t sum = admissions.size() + withdrawn.size() + (nonce ? 1 : 0);
        for (const Table& table : tables) {
            sum += table.lines.size() + (table.full ? 1 : 0);
        }
        return sum;
    }
};

}  // namespace micaroad
