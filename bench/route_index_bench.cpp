// Compares the route index with a scan of the route list, for 10, 1,000 and 100,000 routes. The
// routes distinguish tenants by path prefix, by host, and by combinations of host, path and method.
// Each lookup uses the next of 1,024 random RPCs. Before the measurement the results of index and
// scan are checked to be equal, for 64 of the RPCs if there are over 10,000 routes.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdlib>
#include <random>

#include "routing/route_index.hpp"

using namespace micaroad::routing;

namespace {

struct Drawn {
    std::vector<Route> routes;
    std::vector<Rpc> rpcs;
};

Drawn draw(int number) {
    std::mt19937_64 random(7);
    Drawn drawn;
    const auto path = [](int i) { return fmt::format("/v{}/tenant-{}/", i % 3, i); };
    const auto host = [](int i) { return fmt::format("t{}.example", i); };
    for (int i = 0; i < number; ++i) {
        Match match;
        switch (i % 4) {
            case 0:
                match = {PathIs{{TextMatchKind::prefix, {path(i)}, false}}};
                break;
            case 1:
                match = {HostIs{{TextMatchKind::exact, {host(i)}, false}}};
                break;
            case 2:
                match = {AllOf{{Match{HostIs{{TextMatchKind::suffix, {"." + host(i)}, false}}},
                                Match{PathIs{{TextMatchKind::prefix, {"/api/"}, false}}}}}};
                break;
            default:
                match = {AllOf{{Match{PathIs{{TextMatchKind::exact, {path(i)}, false}}},
                                Match{Not{{Match{MethodIs{{"POST"}}}}}}}}};
        }
        drawn.routes.push_back({fmt::format("r{}", i), std::move(match), ToPool{"p"}});
    }
    drawn.routes.push_back({"rest", {PathIs{{TextMatchKind::prefix, {"/"}, false}}}, ToPool{"p"}});
    for (int i = 0; i < 1'024; ++i) {
        const int n = static_cast<int>(random() % static_cast<unsigned>(number));
        Rpc rpc;
        rpc.path = n % 4 == 0 ? path(n) + "item/7" : n % 4 == 3 ? path(n) : "/api/item/7";
        rpc.host = n % 4 == 1 ? host(n) : n % 4 == 2 ? "www." + host(n) : "other.example";
        drawn.rpcs.push_back(std::move(rpc));
    }
    return drawn;
}

void by_index(benchmark::State& state) {
    const Drawn drawn = draw(static_cast<int>(state.range(0)));
    const RouteIndex index(drawn.routes);
    for (std::size_t i = 0; i < (state.range(0) > 10'000 ? 64 : drawn.rpcs.size()); ++i) {
        if (index.find_first(drawn.rpcs[i], nullptr) !=
            find_first_by_scan(drawn.routes, drawn.rpcs[i], nullptr)) {
            std::abort();
        }
    }
    std::size_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.find_first(drawn.rpcs[i++ % drawn.rpcs.size()], nullptr));
    }
}
void by_list(benchmark::State& state) {
    const Drawn drawn = draw(static_cast<int>(state.range(0)));
    std::size_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            find_first_by_scan(drawn.routes, drawn.rpcs[i++ % drawn.rpcs.size()], nullptr));
    }
}
void building(benchmark::State& state) {
    const Drawn drawn = draw(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(RouteIndex(drawn.routes));
    }
}

}  // namespace

BENCHMARK(by_index)->Arg(10)->Arg(1'000)->Arg(100'000);
BENCHMARK(by_list)->Arg(10)->Arg(1'000)->Arg(100'000);
BENCHMARK(building)->Arg(10)->Arg(1'000)->Arg(100'000)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
