/// \file
/// Translates the rules that act on requests (`tcp-request`, `http-request`, `block` and
/// `redirect`; configuration manual 2.8, section 4.2) to routes that reject or redirect RPCs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/acl.hpp"
#include "haproxy/section.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

/// A rule by which a section itself answers RPCs with an error.
struct Denial {
    routing::Match match;
    int status;  // HTTP status, 400 to 599
};

/// Makes the names of one listener's routes, such as "deny-12": a purpose and the line number of
/// the statement, with a counter if that pair occurs again.
class RouteNames {
 public:
    [[nodiscard]] std::string unique_name(const std::string& purpose, const Statement& statement);

 private:
    std::map<std::string, int> uses_;
};

/// Receives the routes of a listener. Both referenced objects must outlive it.
struct RouteSink {
    std::vector<routing::Route>& routes;
    RouteNames& names;
};

/// Returns a match that holds if both do.
[[nodiscard]] routing::Match match_both(const routing::Match& first, const routing::Match& second);

/// Translates the rules of `draft` in the order in which HAProxy evaluates them, and records a
/// verdict for each in `findings`. Routes for denials and redirects are appended to `sink`; it is
/// null for a backend, which has no routes of its own: its denials apply wherever a route leads to
/// it, and its redirects are refused.
[[nodiscard]] std::vector<Denial> translate_request_rules(const Draft& draft, Acls& acls,
                                                          Findings& findings, RouteSink* sink);

}  // namespace micaroad::haproxy
