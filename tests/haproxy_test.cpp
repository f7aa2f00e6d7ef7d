// The importer: verdicts, shares and routes that the files of the corpus expect (see corpus.hpp),
// input that can't be read, files cut at any byte, and the time to import a large configuration.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "corpus.hpp"
#include "haproxy/files.hpp"
#include "haproxy/report.hpp"
#include "operators/file.hpp"
#include "routing/match.hpp"
#include "routing/router.hpp"

using namespace micaroad;
using test::CorpusFile;

namespace {

haproxy::Import import_text(const std::string& text, const haproxy::Environment& environment = {}) {
    haproxy::TreeBuilder builder(environment);
    builder.add("x.cfg", text);
    return haproxy::translate(builder.finish());
}

}  // namespace

TEST_CASE("every line of the corpus gets exactly one finding, with its expected verdict") {
    const auto files = CorpusFile::read_all();
    CHECK(files.size() >= 40);
    for (const CorpusFile& file : files) {
        DYNAMIC_SECTION(file.name) {
            const haproxy::Import import = file.import();
            for (const auto& trouble : import.faults) {
                UNSCOPED_INFO(trouble.text());
            }
            REQUIRE(import.faults.empty());
            std::map<int, int> found;
            for (const auto& finding : import.findings) {
                ++found[finding.line];
                CAPTURE(finding.line, finding.keyword, finding.message);
                const auto expected = file.findings.find(finding.line);
                REQUIRE(expected != file.findings.end());
                CHECK(expected->second.verdict == haproxy::name_of(finding.verdict));
                CHECK_THAT(finding.message, Catch::Contains(expected->second.says));
            }
            CHECK(found.size() == file.findings.size());
            for (const auto& [line, n] : found) {
                CHECK(n == 1);
            }
        }
    }
}

TEST_CASE(
    "pools of the corpus have their expected shares and states, and routes lead to their expected "
    "pools") {
    for (const CorpusFile& file : CorpusFile::read_all()) {
        DYNAMIC_SECTION(file.name) {
            const haproxy::Import import = file.import();
            const auto report = nlohmann::json::parse(haproxy::json_report(import, {file.name}));
            std::map<std::string, std::map<std::string, double>> shares;
            std::map<std::string, std::string> states;
            for (const auto& pool : report["pools"]) {
                for (const auto& server : pool["servers"]) {
                    shares[pool["name"]][server["name"]] = server["share"];
                    states[std::string(pool["name"]) + "/" + std::string(server["name"])] =
                        server["state"];
                }
            }
            for (const auto& [pool, expected] : file.shares) {
                CAPTURE(pool);
                REQUIRE(shares[pool].size() == expected.size());
                for (const auto& [server, share] : expected) {
                    CHECK(shares[pool][server] == Approx(share).margin(1e-4));
                }
            }
            for (const auto& [server, state] : file.states) {
                CHECK(states[server] == state);
            }
            CHECK(report["counts"]["lines"] == file.findings.size());

            const routing::Router router(import.plan);
            for (const auto& route : file.routes) {
                CAPTURE(route.directive);
                const auto decision = router.decide(route.listener, route.rpc, route.view);
                const bool has_pool = decision.kind == routing::Decision::Kind::send ||
                                      decision.kind == routing::Decision::Kind::wait;
                CHECK((has_pool ? decision.pool : std::to_string(decision.status)) ==
                      route.expected);
            }
            // The operator's file that is written from the plan reads back as the same plan.
            const operators::ReadResult back =
                operators::read_text(operators::write_text(import.plan), "back");
            for (const auto& fault : back.faults) {
                UNSCOPED_INFO(fault.text());
            }
            CHECK(back.faults.empty());
            CHECK(back.plan == import.plan);
        }
    }
}

TEST_CASE("input that can't be read is reported with its place, and no plan is made of it") {
    const auto trouble = [](const std::string& text) {
        const auto import = import_text(text);
        CHECK((import.plan.pools.empty() && import.plan.listeners.empty()));
        return import.faults.empty() ? "" : import.faults.front().text();
    };
    CHECK(trouble("server a 1.1.1.1:1\n") == "x.cfg:1:1: 'server' before any section");
    CHECK(trouble("backend web\n server a \"1.1\n") == "x.cfg:2:11: unterminated quote");
    CHECK(trouble("backend web\n balance 'x\n") == "x.cfg:2:10: unterminated quote");
    CHECK(trouble("backend\n") == "x.cfg:1:1: backend without a name");
    CHECK(trouble("backend we/b\n") ==
          "x.cfg:1:9: 'we/b' is not a valid name: letters, digits and -_.:, 128 at most");
    CHECK(trouble(std::string("backend web\n id \0 x\n", 20)) == "x.cfg:2:5: a NUL byte");
    CHECK(trouble("backend web\n id \"${A\"\n") == "x.cfg:2:6: ${ without its }");
    CHECK(trouble("backend web\n id \\xZZ\n") == "x.cfg:2:5: \\x without two hexadecimal digits");
    CHECK(trouble("backend web\nbackend web\n") == "x.cfg:2:1: a second backend web");
    CHECK(trouble("backend web from none\n") ==
          "x.cfg:1:1: there is no defaults section none before it");
    CHECK(trouble(".if 1\nbackend web\n") == "x.cfg:1:1: .if without its .endif");
    CHECK(trouble(".endif\n") == "x.cfg:1:1: no .if is open");
    CHECK(
        trouble("backend web\n id " + std::string(haproxy::Lexer::kMaxLineBytes, 'x') + "\n id 2\n")
            .starts_with("x.cfg:2:1: a line over"));
    std::string words = "backend web\n id";
    for (int i = 0; i < 64; ++i) {
        words += " w";
    }
    CHECK(trouble(words + "\n").find("over 64 words") != std::string::npos);
    // All errors are reported at once.
    CHECK(import_text("backend\nbackend a'b\n id \"x\n").faults.size() == 3);
}

TEST_CASE(
    "lines are lexed as the manual says: line ends, quotes, continuations and unusual bytes") {
    const std::string valid = "backend web\n server a 10.0.0.1:80\n";
    const auto plan_of = [](const std::string& text) {
        const auto import = import_text(text);
        CHECK(import.faults.empty());
        return import.plan;
    };
    const auto plan = plan_of(valid);
    REQUIRE(plan.pools.size() == 1);
    CHECK(plan == plan_of("\xef\xbb\xbf" + valid));
    CHECK(plan == plan_of("backend web\r\n server a 10.0.0.1:80\r\n"));
    CHECK(plan == plan_of("backend web\n\n#x \\\n\t server\ta  10.0.0.1:80 # more"));
    CHECK(plan == plan_of("backend web\n server a \\\n10.0.0.1:80\n"));
    CHECK(plan == plan_of("backend web\n 'ser'\"ver\" \\x61 10.0.0.1:80\n"));
    // A line of 64 KiB, fed byte by byte.
    const std::string long_line =
        "backend web\n id " + std::string(65'536, 'y') + "\n server a 10.0.0.1:80\n";
    CHECK(plan == plan_of(long_line));
    std::vector<haproxy::Line> lines;
    const haproxy::Environment environment{{"MANY", "a b  c"}, {"ONE", "x y"}};
    haproxy::Lexer lexer("f", environment,
                         [&](haproxy::Line&& line) { lines.push_back(std::move(line)); });
    for (const char c :
         std::string("k \"${MANY[*]}\" \"$ONE\" '$ONE' $ONE \"${NO-d e}\" \"${.LINE}\" \xff\xfe")) {
        lexer.feed({&c, 1});
    }
    lexer.finish();
    REQUIRE(lines.size() == 1);
    std::vector<std::string> words;
    for (const auto& word : lines[0].words) {
        words.push_back(word.text);
    }
    CHECK(words == std::vector<std::string>{"k", "a", "b", "c", "x y", "$ONE", "$ONE", "d e", "1",
                                            "\xff\xfe"});
    // The JSON report is valid although the input is not UTF-8.
    const auto non_utf8 = import_text("backend web\n \xff\xfe 1\n");
    CHECK_NOTHROW(nlohmann::json::parse(haproxy::json_report(non_utf8, {"x"})));
}

TEST_CASE("limits, health checks, retries and stickiness are translated to the plan's settings") {
    const auto import = CorpusFile::read("health-rules").import();
    const auto& health = import.plan.pools.at(0).health;
    CHECK((health.kind == routing::HealthRule::Kind::http && health.http_path == "/ping" &&
           health.http_host == "shop.example"));
    CHECK((health.min_status == 200 && health.max_status == 299 && health.rise == 3 &&
           health.fall == 4));
    CHECK((health.interval == Duration{30'000} && health.transition_interval == Duration{5'000} &&
           health.down_interval == Duration{100'000}));
    CHECK((health.timeout == Duration{9'000} && health.max_consecutive_errors == 0));
    CHECK(!import.plan.pools[0].servers.at(4).health_checked);

    const auto limits = CorpusFile::read("limits").import().plan;
    CHECK((limits.listeners.at(0).max_connections == 2'000 &&
           limits.pools.at(0).queue_timeout == Duration{15'000}));
    CHECK((limits.pools[0].servers.at(0).max_connections == 100 &&
           limits.pools[0].servers[0].max_queued == 50));

    const auto sticky = CorpusFile::read("cookie-persist").import().plan.pools.at(0);
    using routing::RetryRule;
    CHECK(sticky.retry_rule ==
          RetryRule{5, RetryRule::Condition::any_failure, RetryRule::Target::other_on_last_retry});
    CHECK((sticky.stickiness.by == routing::Stickiness::By::cookie &&
           sticky.stickiness.stay_when_down));
    CHECK((sticky.servers.at(1).cookie_value == "s2" && sticky.servers[1].health_checked));

    const auto slow = CorpusFile::read("slow-start").import().plan.pools.at(0);
    CHECK(slow.servers.at(2).slow_start == Duration{160'000});
    CHECK(
        CorpusFile::read("slow-start-static").import().plan.pools.at(0).servers.at(0).slow_start ==
        Duration{});
    const auto from = CorpusFile::read("defaults-from").import().plan;
    CHECK((from.pools.at(0).connect_timeout == Duration{10'000} &&
           from.pools[0].response_timeout == Duration{90'000}));
    CHECK((from.pools.at(2).connect_timeout == Duration{30'000} && !from.pools[2].all_backups));
}

TEST_CASE("files and directories are read in order, and a missing file is reported") {
    namespace fs = std::filesystem;
    const fs::path folder =
        fs::temp_directory_path() / ("micaroad-haproxy-" + std::to_string(::getpid()));
    fs::create_directories(folder / "d");
    const auto write_file = [&](const char* name, const char* text) {
        std::ofstream(folder / name) << text;
    };
    write_file("one.cfg", "defaults\n timeout connect 1s\n timeout server 1s\n");
    write_file("d/20.cfg", " server b 10.0.0.2:80 weight 3\n");
    write_file("d/10.cfg", "backend web\n server a 10.0.0.1:80\n");
    write_file("d/30.txt", "nonsense");
    write_file("d/empty.cfg", "");
    const auto import_files = [&](std::vector<std::string> names) {
        for (auto& name : names) {
            name = (folder / name).string();
        }
        return haproxy::translate(haproxy::read_files(names, {}));
    };
    const auto import = import_files({"one.cfg", "d"});
    CHECK(import.faults.empty());
    REQUIRE((import.plan.pools.size() == 1 && import.plan.pools[0].servers.size() == 2));
    CHECK(import.plan.pools[0].servers[1].weight == 3);
    CHECK(import.plan.pools[0].connect_timeout == Duration{10'000});
    CHECK(import.findings.back().file.ends_with("20.cfg"));
    REQUIRE(import_files({"one.cfg", "none.cfg"}).faults.size() == 1);
    fs::remove_all(folder);
}

TEST_CASE("a file cut at any byte is read or refused, and no line is left without a verdict") {
    for (const char* name : {"quoting", "macros", "acl-thrice-is-or", "health-rules"}) {
        const std::string text = CorpusFile::read(name).text;
        for (std::size_t length = 0; length <= text.size(); ++length) {
            const auto import =
                import_text(text.substr(0, length), {{"MICAROAD_TEST_WEIGHT", "3"}});
            if (!import.faults.empty()) {
                CHECK(import.plan.pools.empty());
            }
            for (const auto& finding : import.findings) {
                if (finding.verdict == haproxy::Verdict::refused && finding.message.empty()) {
                    FAIL(name << " cut at byte " << length);
                }
                if (finding.message == "the importer has no rule for this line" &&
                    import.faults.empty()) {
                    FAIL(name << " cut at byte " << length << ", line " << finding.line);
                }
            }
        }
    }
}

TEST_CASE("a configuration of 20,000 servers and 50,000 lines is imported within a second") {
    std::string text = "defaults\n timeout connect 1s\n timeout server 1s\n";
    int lines = 3;
    for (int pool = 0; pool < 100; ++pool) {
        text +=
            "frontend f" + std::to_string(pool) + "\n bind :" + std::to_string(1'000 + pool) + "\n",
            lines += 2;
        for (int i = 0; i < 99; ++i, lines += 2) {
            const std::string id = std::to_string(i);
            text += " acl a" + id + " path_beg /p" + id + "\n use_backend b" + std::to_string(i) +
                    " if a" + id + "\n";
        }
        text += " default_backend b" + std::to_string(pool) + "\nbackend b" + std::to_string(pool) +
                "\n",
            lines += 2;
        for (int i = 0; i < 200; ++i, ++lines) {
            text += " server s" + std::to_string(i) + " 10.0." + std::to_string(pool) + "." +
                    std::to_string(i) + ":80 check weight " + std::to_string(1 + i % 9) + "\n";
        }
    }
    while (lines < 50'000) {
        text += "# filler\n frobnicate 1\n";
        lines += 1;
    }
    const auto started_at = std::chrono::steady_clock::now();
    const auto import = import_text(text);
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    std::size_t servers = 0;
    for (const auto& pool : import.plan.pools) {
        servers += pool.servers.size();
    }
    CHECK(import.faults.empty());
    CHECK(servers == 20'000);
    CHECK(import.findings.size() == static_cast<std::size_t>(lines));
    WARN("50,000 lines, 20,000 servers: " << seconds << " s");
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    CHECK(seconds < 1.0);
#endif
}
