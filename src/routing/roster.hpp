// What a plan's pools are to the decision module: each pool a method of its own, open to servers of
// one kind; each server of the tier in use an entry of the list. The module decides who gets how
// much; this only says who may get anything.
#pragma once

#include "micaroad/planner.hpp"
#include "routing/choice.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::routing {

class Roster {
 public:
    explicit Roster(const Plan& plan);  // keeps a reference

    // Methods, one a pool with its time for an answer as soft deadline; the channel, the grace and
    // reports of the plan's service; the longest slow start. What a plan does not tell is `base`'s.
    DeploymentSettings terms(DeploymentSettings base) const;
    SymbolTable names() const;  // methods and kinds: the pools; one zone, "here"

    // The whole list at an instant. Usable and full servers are ready with their weight as size;
    // those that only stuck RPCs may go to are draining; others are absent. A server with a slow
    // start tells when it came up.
    event::EndpointListUpdate list(const View& view) const;
    std::map<ServerId, std::string> addresses() const;

 private:
    const Plan& plan_;
    Chooser chooser_;
};

}  // namespace micaroad::routing
