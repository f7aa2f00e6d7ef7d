// Keeps a plan's view while it is served: probes by each pool's rule, drains and new plans, and out
// of these the list for the module whenever it changes. Free of I/O: a driver asks the servers and
// tells the answers.
//
// Guards against sending to servers that are down, in maintenance or gone from the file. It could
// harm if all probes of a pool fail by one fault, as a cut link: then its backups are listed, and
// without any its RPCs are turned away until one is up.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/health.hpp"
#include "routing/roster.hpp"

namespace micaroad::routing {

class Keeper {
 public:
    Keeper(Plan plan, TimePoint now);

    struct Probe {
        std::string server;  // full name
        std::string address;
        HealthRule rule;
    };

    std::vector<Probe> take_due(TimePoint now);
    std::optional<TimePoint> next_due() const;
    // What changed in words; empty: nothing.
    std::string probed(const std::string& server, bool ok, TimePoint now);
    // The same pools with other servers, weights or states; what is known of servers that stay is
    // kept. False: pools differ, which only a new start can take in, and nothing is changed.
    bool replace(Plan plan, TimePoint now);

    // The list, if it is another than at the last call.
    std::optional<event::EndpointListUpdate> changed(TimePoint now);
    std::map<ServerId, std::string> addresses() const { return roster_->addresses(); }
    const Plan& plan() const { return *plan_; }

 private:
    void begin(Plan plan, TimePoint now);

    std::unique_ptr<Plan> plan_;
    std::unique_ptr<Roster> roster_;
    View view_;
    std::map<std::string, HealthBook> books_;  // by pool
    std::optional<std::vector<ListedEndpoint>> last_;
};

}  // namespace micaroad::routing
