#include "routing_run.hpp"

#include <fmt/format.h>

#include <optional>

#include "measure.hpp"
#include "routing/limiter.hpp"
#include "routing/route_index.hpp"

namespace micaroad::scale {
namespace {

using nlohmann::json;
using namespace micaroad::routing;

constexpr int kLookups = 20'000;
constexpr int kLookupsPerSample = 20;  // reading the clock costs as much as one lookup
constexpr int kTenantLimit = 100;      // concurrent RPCs
constexpr double kMicrosecond = 1e-6;
constexpr double kBytesPerMegabyte = 1e6;

std::string path_of(int route) {
    return fmt::format("/v{}/route-{}/", route % 3, route);
}
std::string host_of(int route) {
    return fmt::format("r{}.example", route);
}

// Alternates between four kinds of match: path prefix, exact host, host suffix with path prefix,
// and exact path except for one method.
Match match_of(int route) {
    switch (route % 4) {
        case 0:
            return {PathIs{{TextMatchKind::prefix, {path_of(route)}, false}}};
        case 1:
            return {HostIs{{TextMatchKind::exact, {host_of(route)}, false}}};
        case 2:
            return {AllOf{{Match{HostIs{{TextMatchKind::suffix, {"." + host_of(route)}, false}}},
                           Match{PathIs{{TextMatchKind::prefix, {"/api/"}, false}}}}}};
        default:
            return {AllOf{{Match{PathIs{{TextMatchKind::exact, {path_of(route)}, false}}},
                           Match{Not{{Match{MethodIs{{"POST"}}}}}}}}};
    }
}

Rpc rpc_for(int route) {
    Rpc rpc;
    rpc.path = route % 4 == 0   ? path_of(route) + "item/7"
               : route % 4 == 3 ? path_of(route)
                                : "/api/item/7";
    rpc.host = route % 4 == 1   ? host_of(route)
               : route % 4 == 2 ? "www." + host_of(route)
                                : "other.example";
    return rpc;
}

std::vector<Route> draw_routes(const WorldSpec& spec) {
    std::vector<Route> routes;
    const std::vector<int> sizes =
        zipf_sizes(spec.routes, std::min(spec.services, spec.routes), spec.skew);
    for (int service = 0; service < std::ssize(sizes); ++service) {
        for (int i = 0; i < sizes[static_cast<std::size_t>(service)]; ++i) {
            const int route = static_cast<int>(routes.size());
            routes.push_back({fmt::format("r{}", route), match_of(route),
                              ToPool{fmt::format("service-{}", service)}});
        }
    }
    return routes;
}

json measure_routes(const WorldSpec& spec, std::minstd_rand& random, json& counts) {
    const std::vector<Route> routes = draw_routes(spec);
    const std::int64_t memory_before = resident_bytes();
    double before = processor_seconds();
    const RouteIndex index(routes);
    const double build_seconds = processor_seconds() - before;
    const std::int64_t memory = resident_bytes() - memory_before;
    std::vector<Rpc> rpcs;
    for (int i = 0; i < kLookups; ++i) {
        rpcs.push_back(rpc_for(static_cast<int>(random() % static_cast<unsigned>(spec.routes))));
    }
    Samples lookup_us;
    std::uint64_t found = 0;
    for (int i = 0; i < kLookups; i += kLookupsPerSample) {
        before = processor_seconds();
        for (int k = i; k < i + kLookupsPerSample; ++k) {
            found += index.find_first(rpcs[static_cast<std::size_t>(k)], nullptr).value_or(0);
        }
        lookup_us.add((processor_seconds() - before) / kLookupsPerSample / kMicrosecond);
    }
    counts["routes_found"] = found;
    return {{"index_build_seconds", build_seconds},
            {"index_mb", static_cast<double>(memory) / kBytesPerMegabyte},
            {"lookup_us_50", lookup_us.quantile(0.5)},
            {"lookup_us_99", lookup_us.quantile(0.99)},
            // Part of a core if the index is rebuilt for each change.
            {"rebuild_share", build_seconds * spec.changes_per_second}};
}

json measure_tenants(const WorldSpec& spec, std::minstd_rand& random, json& counts) {
    Pool limit;
    limit.max_connections = kTenantLimit;
    limit.servers.emplace_back();
    limit.servers.back().name = "here";
    const std::int64_t memory_before = resident_bytes();
    double before = processor_seconds();
    std::vector<Limiter> limiters;
    limiters.reserve(static_cast<std::size_t>(spec.tenants));
    for (int tenant = 0; tenant < spec.tenants; ++tenant) {
        limiters.emplace_back(limit);
    }
    const double build_seconds = processor_seconds() - before;
    const std::int64_t memory = resident_bytes() - memory_before;
    std::vector<std::size_t> drawn_tenants;
    for (int i = 0; i < kLookups; ++i) {
        drawn_tenants.push_back(random() % static_cast<unsigned>(spec.tenants));
    }
    Samples request_us;
    int admitted = 0;
    for (int i = 0; i < kLookups; i += kLookupsPerSample) {
        before = processor_seconds();
        for (int k = i; k < i + kLookupsPerSample; ++k) {
            Limiter& limiter = limiters[drawn_tenants[static_cast<std::size_t>(k)]];
            const RpcNumber rpc{static_cast<std::uint64_t>(k)};
            admitted +=
                limiter.request(rpc, "here", TimePoint{}).outcome == Limiter::Outcome::admitted;
            (void)limiter.finish(rpc);
        }
        request_us.add((processor_seconds() - before) / kLookupsPerSample / kMicrosecond);
    }
    counts["rpcs_admitted"] = admitted;
    return {{"limiters_build_seconds", build_seconds},
            {"limiters_mb", static_cast<double>(memory) / kBytesPerMegabyte},
            {"limiter_us_50", request_us.quantile(0.5)},
            {"limiter_us_99", request_us.quantile(0.99)}};
}

}  // namespace

json run_routing(const WorldSpec& spec, double max_processor_seconds) {
    check(spec);
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(spec.seed));
    json counts = json::object(), measured = json::object();
    if (spec.routes > 0) {
        measured.update(measure_routes(spec, random, counts));
    }
    if (spec.tenants > 0) {
        measured.update(measure_tenants(spec, random, counts));
    }
    measured["resident_mb"] = static_cast<double>(resident_bytes()) / kBytesPerMegabyte;
    return {{"stopped", processor_seconds() > max_processor_seconds},
            {"counts", counts},
            {"measured", measured}};
}

}  // namespace micaroad::scale
