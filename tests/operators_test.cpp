// The operator's file: its fields are read and written back, and all faults are reported at once,
// each with its place, its value and what is allowed.
#include <catch2/catch.hpp>
#include <random>

#include "operators/duration.hpp"
#include "operators/file.hpp"
#include "operators/text_parser.hpp"

using namespace micaroad;
using namespace micaroad::operators;

namespace {

const std::string kValidFile = R"(listener {
  name: "shop"
  address: "*:80"
  address: "[::1]:8080"
  connections_most: 2000
  route {
    name: "images"
    when { all_of { match { path { prefix: "/img/" any_case: true } } match { not { source { value: "10.0.0.0/8" } } } } }
    pool: "static"
  }
  route { name: "old" when { host { exact: "Old.Example" } } redirect { location: "https://new.example/" status: 301 } }
  route { name: "busy" when { usable_servers { pool: "web" most: 1 } } turn_away { status: 503 } }
  route { name: "h" when { any_of { match { header { name: "x" text { present: true } } } match { method { value: "PUT" } } } } pool: "web" }
  default_pool: "web"
}
pool {
  name: "web"
  server { name: "a" address: "10.0.0.1:80" weight: 2 connections_most: 10 queue_most: 5 slow_start: "1m" checked: true mark: "s1" }
  server { name: "b" address: "10.0.0.2:80" tier: BACKUP state: DRAINING health_of: "static/x" }
  all_backups: true
  queue_patience: "1500ms"
  further_tries { most: 2 proof: ANY_FAILURE where: OTHER }
  stickiness { by: COOKIE name: "SRV" keeps_down: true }
  health { every: "3s" fall: 4 http { path: "/ping" host: "h" status_most: 299 } errors_most: 5 }
}
pool { name: "static" server { name: "x" address: "10.0.0.3:80" } }
recording { path: "/var/lib/micaroad" segment_mb: 4 keep: "1d" }
planner { name: "n1" listen: "127.0.0.1:0" proxies: 8 drain_grace: "3s" }
)";

std::vector<std::string> faults_of(const std::string& text) {
    std::vector<std::string> faults;
    for (const Fault& fault : read_text(text, "f").faults) {
        faults.push_back(fault.text());
    }
    return faults;
}
std::string pool_with(const std::string& fields) {
    return "pool { name: \"p\" server { name: \"a\" address: \"10.0.0.1:80\" }\n" + fields +
           "\n}\n";
}
std::string server_with(const std::string& fields) {
    return "pool { name: \"p\"\n server { name: \"a\" address: \"10.0.0.1:80\"\n" + fields +
           "\n}\n}\n";
}

}  // namespace

TEST_CASE("a valid file is read, and what is written from its plan reads back as the same plan") {
    const ReadResult result = read_text(kValidFile, "f");
    for (const Fault& fault : result.faults) {
        UNSCOPED_INFO(fault.text());
    }
    REQUIRE(result.faults.empty());
    const routing::Plan& plan = result.plan;
    REQUIRE((plan.listeners.size() == 1 && plan.pools.size() == 2));
    CHECK((plan.listeners[0].routes.size() == 4 && plan.listeners[0].max_connections == 2'000));
    const routing::Pool& web = plan.pools[0];
    CHECK((web.queue_timeout == Duration{15'000} && web.connect_timeout == Duration{50'000} &&
           web.all_backups));
    CHECK((web.servers[0].slow_start == Duration{600'000} &&
           web.servers[1].state == routing::State::draining));
    CHECK((web.health.http_path == "/ping" && web.health.max_status == 299 &&
           web.health.min_status == 200 && web.health.rise == 2));
    CHECK(std::get<routing::HostIs>(plan.listeners[0].routes[1].match.is).text.values.front() ==
          "old.example");
    const std::string text = write_text(plan, "one\n\ntwo");
    CHECK(text.starts_with("# one\n#\n# two\n"));
    const ReadResult back = read_text(text, "f");
    CHECK((back.faults.empty() && back.plan == plan));
}

TEST_CASE("the schema's defaults equal those of the plan's types") {
    const ReadResult result = read_text(
        "pool { name: \"p\" health {} server { name: \"a\" address: \"10.0.0.1:80\" } "
        "further_tries { most: "
        "1 } }",
        "f");
    REQUIRE(result.faults.empty());
    routing::Pool defaults;
    defaults.name = "p";
    defaults.retry_rule.max_retries = 1;
    defaults.servers.resize(1);
    defaults.servers[0].name = "a";
    defaults.servers[0].address = "10.0.0.1:80";
    CHECK(result.plan.pools[0] == defaults);
    CHECK(read_text("planner {}", "f").plan.service == routing::Service{});
}

TEST_CASE("all faults are reported at once, each with its place, value and what is allowed") {
    const auto faults = faults_of(R"(listener {
  name: "a b"
  address: "nowhere"
  adress: "*:80"
  route { name: "r" pool: "wev" }
  route { name: "r" }
  default_pool: "none"
}
pool {
  name: "web"
  queue_patience: "12"
  connect_within: "99999999999999999999s"
  server { name: "a" address: "web.internal:80" weight: 300 state: SLEEPY }
  server { name: "a" address: "10.0.0.1:80" health_of: "web/zz" }
  server { name: "c" }
  connections_most: 99999999999
}
pool { name: "web" server { name: "z" address: "10.0.0.9:99999" weight: 0 } }
)");
    const auto has_fault = [&faults](const std::string& prefix, const std::string& with) {
        const bool found = std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
            return fault.starts_with(prefix) && fault.find(with) != std::string::npos;
        });
        if (!found) {
            for (const auto& fault : faults) {
                UNSCOPED_INFO(fault);
            }
        }
        return found;
    };
    CHECK(has_fault("f:2:3: 'a b': invalid name", "letters, digits"));
    CHECK(has_fault("f:3:3: 'nowhere': invalid address", "host:port"));
    CHECK(has_fault(
        "f:4:",
        "'adress': unknown field of Listener (did you mean 'address'?); allowed: name, address"));
    CHECK(has_fault("f:5:21: 'wev': unknown pool (did you mean 'web'?)", ""));
    CHECK(has_fault("f:6:11: 'r': duplicate route name", ""));
    CHECK(has_fault("f:6:11: 'r': the route has no action", "turn_away"));
    CHECK(has_fault("f:7:3: 'none': unknown pool", ""));
    CHECK(has_fault("f:11:3: '12': invalid duration", "2147483647ms"));
    CHECK(has_fault("f:12:3: '99999999999999999999s': invalid duration", ""));
    CHECK(has_fault("f:13:22: 'web.internal:80': invalid address", "not resolved"));
    CHECK(has_fault("f:13:49: '300': out of range; allowed: 0 to 256", ""));
    CHECK(has_fault(
        "f:13:",
        "'SLEEPY': invalid value of state; allowed: READY, DRAINING, DISABLED, MAINTENANCE"));
    CHECK(has_fault("f:14:12: 'a': duplicate server name", ""));
    CHECK(has_fault("f:14:45: 'web/zz': unknown server", "pool/server"));
    CHECK(has_fault("f:15:3: 'Server': required field 'address' is missing", ""));
    CHECK(has_fault("f:16:21: '99999999999'", "whole number"));
    CHECK(has_fault("f:18:8: 'web': duplicate pool name", ""));
    CHECK(has_fault("f:18:8: 'web': its shares are undefined", "DRAINING"));
    CHECK(has_fault("f:18:39: '10.0.0.9:99999': invalid address", ""));
    CHECK(faults.size() == 19);
    CHECK(std::is_sorted(faults.begin(), faults.end(), [](const auto& a, const auto& b) {
        return std::stoi(a.substr(2)) < std::stoi(b.substr(2));
    }));
}

TEST_CASE("values outside their bounds and incomplete fields are rejected") {
    CHECK(faults_of(pool_with("")).empty());
    const char* const pools[] = {"all_backups: 3",
                                 "connections_most: 0",
                                 "queue_patience: \"-1s\"",
                                 "answer_within: \"0s\"",
                                 "answer_within: \"25d\"",
                                 "further_tries { most: 101 }",
                                 "further_tries {}",
                                 "stickiness { by: HEADER }",
                                 "stickiness { by: PATH path_depth: 0 }",
                                 "health { rise: 0 }",
                                 "health { every: \"1\" }",
                                 "health { http { status_least: 400 status_most: 300 } }",
                                 "health { http { status_least: 99 } }",
                                 "name: 3",
                                 "server { name: \"b\" address: \":80\" }",
                                 "server { name: \"\" address: \"10.0.0.1:80\" }"};
    for (const char* fields :
         {"", "path: \"\"", "path: \"x\" segment_mb: 0", "path: \"x\" all_mb: 15",
          "path: \"x\" keep: \"0s\"", "path: \"x\" processor_percent: 101"}) {
        CAPTURE(fields);
        CHECK(faults_of(std::string("recording { ") + fields + " }").size() == 1);
    }
    for (const char* fields : {"proxies: 0", "listen: \"x\"", "drain_grace: \"100ms\"",
                               "memory_mb: 1", "name: \"\"", "lines_per_second: 0"}) {
        CAPTURE(fields);
        CHECK(faults_of(std::string("planner { ") + fields + " }").size() == 1);
    }
    for (const char* fields : pools) {
        CAPTURE(fields);
        CHECK(faults_of(pool_with(fields)).size() == 1);
    }
    const char* const servers[] = {
        "weight: 257",        "weight: -1",         "connections_most: 0",
        "queue_most: 0",      "slow_start: \"0s\"", "health_of: \"p/a\"",
        "health_of: \"p/b\"", "tier: THIRD",        "state: \"READY\""};
    for (const char* fields : servers) {
        CAPTURE(fields);
        CHECK(faults_of(server_with(fields)).size() == 1);
    }
    const auto route = [](const std::string& when) {
        return "pool { name: \"p\" server { name: \"a\" address: \"10.0.0.1:80\" } }\nlistener { "
               "name: \"l\" "
               "route { name: \"r\" pool: \"p\" when { " +
               when + " } } }";
    };
    CHECK(faults_of(route("path { exact: \"/\" }")).empty());
    const char* const matches[] = {"",
                                   "path {}",
                                   "path { exact: \"a\" prefix: \"b\" }",
                                   "path { present: true }",
                                   "method {}",
                                   "source {}",
                                   "source { value: \"10.0.0.0/99\" }",
                                   "header { name: \"x\" }",
                                   "usable_servers { pool: \"q\" }",
                                   "usable_servers { pool: \"p\" least: 3 most: 2 }",
                                   "not {}"};
    for (const char* when : matches) {
        CAPTURE(when);
        CHECK(faults_of(route(when)).size() == 1);
    }
    std::string deep_match = "path { exact: \"/\" }";
    for (int i = 0; i < 200; ++i) {
        deep_match = "not { " + deep_match + " }";
    }
    CHECK(!faults_of(route(deep_match)).empty());
}

TEST_CASE("a text that is cut or corrupted anywhere is read or rejected without a crash") {
    std::mt19937_64 rng(3);
    for (std::size_t length = 0; length < kValidFile.size(); length += 3) {
        const ReadResult result = read_text(kValidFile.substr(0, length), "f");
        for (const Fault& fault : result.faults) {
            CHECK(!fault.text().empty());
        }
    }
    for (int i = 0; i < 400; ++i) {
        std::string text = kValidFile;
        for (int k = 0; k < 4; ++k) {
            text[rng() % text.size()] = static_cast<char>(rng() % 256);
        }
        static_cast<void>(read_text(text, "f"));
    }
    CHECK(read_file("/nowhere/x").faults.at(0).text() == "/nowhere/x: can't be opened");
}

TEST_CASE("durations are whole numbers with a unit, and those that would overflow are rejected") {
    CHECK(parse_duration("250us") == Duration{3});  // rounded up to a tenth of a millisecond
    CHECK((parse_duration("0s") == Duration{} && parse_duration("1500ms") == Duration{15'000} &&
           parse_duration("24d") == Duration{20'736'000'000}));
    for (const char* invalid : {"", "s", "1", "1.5s", "-1s", "1 s", "25d", "9223372036854775807s",
                                "9223372036854775807us", "99999999999999999999us", "1sec"}) {
        CHECK(!parse_duration(invalid));
    }
    for (const std::int64_t tenths :
         {0, 1, 7, 10, 25, 10'000, 600'000, 36'000'000, 864'000'000, 123'457}) {
        CHECK(parse_duration(format_duration(Duration{tenths})) == Duration{tenths});
    }
    CHECK(nearest("adress", {"name", "address", "route"}) == "address");
    CHECK(nearest("zzz", {"name", "address"}).empty());
}
