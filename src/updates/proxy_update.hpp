/// What one decision changes at one proxy, independent of any protocol: src/protocol/ formats it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "micaroad/planner.hpp"

namespace micaroad {

/// The changes of one decide() for one proxy, to be sent as one message and applied at once.
///
/// Tables come first: a full one makes the proxy forget the admissions of its methods. A method
/// stands in one table of an update at most.
struct ProxyUpdate {
    /// The servers that the proxy may send some methods to.
    struct Table {
        std::set<MethodId> methods;
        bool full = false;  ///< replaces what the proxy holds for the methods, admissions too;
                            ///< otherwise only the entries named here change
        std::map<ServerId, double> lines;  ///< entries: weight relative to the others; 0 removes it
    };
    /// Admission and retries of one method.
    struct Admission {
        double amount = 1;  ///< in the deployment's AdmissionKind: a fraction, or RPCs per second
        RetryPolicy retry_policy = RetryPolicy::never;
        auto operator<=>(const Admission&) const = default;
    };

    ProxyId proxy;
    std::vector<Table> tables;
    std::map<MethodId, Admission> admissions;
    /// True: withdrawn, whatever the tables say; false: reinstated. A proxy keeps this across
    /// streams and planners.
    std::map<ServerId, bool> withdrawn;
    std::optional<Nonce> nonce;  ///< present: the proxy is to acknowledge the update

    /// The update's load on the control channel, in the lines of DeploymentSettings, without the
    /// overhead of a message.
    [[nodiscard]] std::size_t channel_lines() const {
        std::size_t sum = admissions.size() + withdrawn.size() + (nonce ? 1 : 0);
        for (const Table& table : tables) {
            sum += table.lines.size() + (table.full ? 1 : 0);
        }
        return sum;
    }
};

}  // namespace micaroad
