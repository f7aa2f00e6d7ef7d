#include "routing/health.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace micaroad::routing {

HealthBook::HealthBook(const Pool& pool, TimePoint now) : rule_(pool.health) {
    std::vector<std::string> checked;
    for (const Server& server : pool.servers) {
        if (server.checked && server.health_of.empty()) {
            checked.push_back(server.name);
        }
    }
    for (std::size_t i = 0; i < checked.size(); ++i) {
        const auto part = rule_.every * static_cast<Duration::rep>(i) /
                          static_cast<Duration::rep>(checked.size());
        entries_[checked[i]].due = now + part;
    }
}

Duration HealthBook::wait_of(const Entry& entry) const {
    if (entry.against > 0 && rule_.every_in_doubt > Duration{}) {
        return rule_.every_in_doubt;
    }
    if (!entry.up && rule_.every_while_down > Duration{}) {
        return rule_.every_while_down;
    }
    return rule_.every;
}

std::vector<std::string> HealthBook::take_due(TimePoint now) {
    std::vector<std::string> due;
    for (auto& [name, entry] : entries_) {
        if (entry.due > now) {
            continue;
        }
        due.push_back(name);
        entry.due = now + std::max(wait_of(entry), rule_.patience);
    }
    return due;
}

std::optional<TimePoint> HealthBook::next_due() const {
    std::optional<TimePoint> first;
    for (const auto& [name, entry] : entries_) {
        first = first ? std::min(*first, entry.due) : entry.due;
    }
    return first;
}

std::optional<HealthBook::Change> HealthBook::turn(const std::string& name, Entry& entry, bool up,
                                                   TimePoint now, std::string why) {
    entry.up = up, entry.against = 0, entry.errors = 0;
    return Change{name, up, now, std::move(why)};
}

std::optional<HealthBook::Change> HealthBook::probed(const std::string& server, bool ok,
                                                     TimePoint now) {
    const auto at = entries_.find(server);
    if (at == entries_.end()) {
        return std::nullopt;
    }
    Entry& entry = at->second;
    entry.against = ok == entry.up ? 0 : entry.against + 1;
    const int enough = entry.up ? rule_.fall : rule_.rise;
    std::optional<Change> change;
    if (entry.against >= std::max(enough, 1)) {
        change = turn(server, entry, ok, now,
                      fmt::format("{} probes in a row were {}", enough, ok ? "ok" : "not"));
    }
    entry.due = now + wait_of(entry);
    return change;
}

std::optional<HealthBook::Change> HealthBook::met(const std::string& server, bool ok,
                                                  TimePoint now) {
    const auto at = entries_.find(server);
    if (at == entries_.end() || rule_.errors_most == 0 || !at->second.up) {
        return std::nullopt;
    }
    Entry& entry = at->second;
    entry.errors = ok ? 0 : entry.errors + 1;
    if (entry.errors < rule_.errors_most) {
        return std::nullopt;
    }
    entry.due = std::min(entry.due, now + wait_of(entry));
    return turn(server, entry, false, now,
                fmt::format("{} RPCs in a row failed there", rule_.errors_most));
}

void HealthBook::begin_down(const std::string& server) {
    if (const auto at = entries_.find(server); at != entries_.end()) {
        at->second.up = false;
    }
}

bool HealthBook::up(const std::string& server) const {
    const auto at = entries_.find(server);
    return at == entries_.end() || at->second.up;
}

}  // namespace micaroad::routing
