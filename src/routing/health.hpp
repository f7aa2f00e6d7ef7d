// What probes and RPCs say of a pool's servers, made up or down by the pool's health rule. One
// object a pool; it is told answers with their instants and asked what to probe next.
//
// Guards against servers that run but don't serve. It should also catch those that answer probes
// and fail RPCs, where the rule lets RPCs count. It could harm when probes fail for a reason of
// their own (a cut link): hence `fall` in a row, and the decision module's rule 1 stands: no proxy
// is left without a line while a server is listed.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/view.hpp"

namespace micaroad::routing {

class HealthBook {
 public:
    // All servers count as up until they have shown otherwise; first probes are spread over the
    // rule's interval.
    HealthBook(const Pool& pool, TimePoint now);

    struct Change {
        std::string server;
        bool up = false;
        TimePoint at{};
        std::string why;
    };

    // The servers whose probe is due. Each is due again once its answer was told, or its patience
    // is over.
    std::vector<std::string> take_due(TimePoint now);
    std::optional<TimePoint> next_due() const;
    std::optional<Change> probed(const std::string& server, bool ok, TimePoint now);
    std::optional<Change> met(const std::string& server, bool ok, TimePoint now);  // by an RPC
    bool up(const std::string& server) const;
    void begin_down(const std::string& server);  // it was down before this book was begun

 private:
    struct Entry {
        bool up = true;
        int against = 0;  // probes in a row that speak against `up`
        int errors = 0;   // RPCs in a row that failed
        TimePoint due{};
    };
    Duration wait_of(const Entry& entry) const;
    std::optional<Change> turn(const std::string& name, Entry& entry, bool up, TimePoint now,
                               std::string why);

    const HealthRule rule_;
    std::map<std::string, Entry> entries_;
};

}  // namespace micaroad::routing
