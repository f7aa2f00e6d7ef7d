// The commands: what they write to standard output, standard error and files, their exit codes, and
// that a failed write leaves no partial file.
#include "command/command.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "command/version.hpp"
#include "command/write_atomically.hpp"

using namespace micaroad;
namespace fs = std::filesystem;

namespace {

struct TemporaryFolder {
    fs::path path = fs::temp_directory_path() / ("micaroad-command-" + std::to_string(::getpid()));
    TemporaryFolder() { fs::create_directories(path); }
    ~TemporaryFolder() { fs::remove_all(path); }
    std::string write(const char* name, const std::string& text) const {
        std::ofstream(path / name) << text;
        return (path / name).string();
    }
    std::string path_of(const char* name) const { return (path / name).string(); }
    std::size_t entry_count() const {
        return static_cast<std::size_t>(std::distance(fs::directory_iterator(path), {}));
    }
};
std::string read(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

struct CommandResult {
    int code;
    std::string out, err;
};
CommandResult run(std::vector<std::string> arguments) {
    std::ostringstream out, err;
    const int code = command::run(arguments, out, err);
    return {code, out.str(), err.str()};
}

const std::string kShopConfiguration = R"(defaults
  timeout connect 1s
  timeout server 1s
frontend shop
  bind :80
  use_backend static if { path_beg /img/ }
  default_backend web
backend web
  balance leastconn
  server a 10.0.0.1:80 weight 1
  server b 10.0.0.2:80 weight 3 send-proxy
  server c 10.0.0.3:80 backup
backend static
  server a 10.0.0.9:80
)";

}  // namespace

TEST_CASE("import writes the operator's file, reports its findings and returns its exit codes") {
    const TemporaryFolder folder;
    const std::string cfg = folder.write("shop.cfg", kShopConfiguration),
                      out = folder.path_of("operator.txtpb");
    const CommandResult to_stdout = run({"import", "haproxy", cfg});
    CHECK(
        (to_stdout.code == command::kSuccess && to_stdout.out.find("pool {") != std::string::npos));
    CHECK((to_stdout.out.starts_with("# Made by") &&
           to_stdout.err.find("changed: balance") != std::string::npos));
    const CommandResult to_file = run({"import", "haproxy", cfg, "--out", out});
    CHECK((to_file.code == command::kSuccess &&
           to_file.out.ends_with("14 lines: 11 translated, 2 changed, 1 refused, 0 no_effect\n")));
    CHECK(read(out) == to_stdout.out);
    const CommandResult strict =
        run({"import", "haproxy", cfg, "--out", out, "--report", "json", "--strict"});
    CHECK(strict.code == command::kFindings);
    const auto report = nlohmann::json::parse(strict.out);
    CHECK((report["file"] == cfg && report["findings"].size() == 14 &&
           report["pools"][0]["servers"][1]["share"] == 0.75));
    CHECK(report["findings"][10]["verdict"] == "refused");
    CHECK(report["pools"][0]["servers"][2]["tier"] == "backup");
    const std::string plain_cfg = folder.write(
        "plain.cfg", "defaults\n timeout connect 1s\nbackend web\n server a 10.0.0.1:80\n");
    CHECK(run({"import", "haproxy", plain_cfg, "--report", "text", "--strict"}).code ==
          command::kFindings);  // no timeout server
}

TEST_CASE("a failed import or write leaves the old file unchanged and no partial file") {
    const TemporaryFolder folder;
    const std::string out = folder.write("operator.txtpb", "old");
    const std::string bad = folder.write("bad.cfg", "backend web\n server a \"10.0.0.1\n");
    const CommandResult result = run({"import", "haproxy", bad, "--out", out});
    CHECK((result.code == command::kInvalidInput && result.out.empty() &&
           result.err == bad + ":2:11: unterminated quote\n"));
    CHECK(read(out) == "old");
    CHECK(run({"import", "haproxy", folder.path_of("none.cfg"), "--out", out}).code ==
          command::kInvalidInput);
    const std::string cfg = folder.write("shop.cfg", kShopConfiguration);
    const auto before = folder.entry_count();
    CHECK(run({"import", "haproxy", cfg, "--out", folder.path_of("no/where.txtpb")}).code ==
          command::kInvalidInput);
    CHECK(folder.entry_count() == before);
    // If the rename fails, no temporary file remains.
    fs::create_directory(folder.path / "dir");
    const auto failed = command::write_atomically(folder.path_of("dir"), "text");
    REQUIRE(!failed);
    CHECK(failed.error().step == command::WriteError::Step::rename);
    CHECK(command::describe(failed.error()).find("can't be renamed") != std::string::npos);
    ::chmod(out.c_str(), 0600);
    CHECK(command::write_atomically(out, "new"));
    CHECK(read(out) == "new");
    struct stat status{};
    ::stat(out.c_str(), &status);
    CHECK((status.st_mode & 0777) == 0600);
    CHECK(folder.entry_count() == before + 1);  // the folder "dir"
}

TEST_CASE("check reports every fault, and explain reports the pool, tier and shares of an RPC") {
    const TemporaryFolder folder;
    const std::string out = folder.path_of("o.txtpb");
    run({"import", "haproxy", folder.write("shop.cfg", kShopConfiguration), "--out", out});
    CHECK(run({"check", out}).out == out + ": valid: 1 listeners, 1 routes, 2 pools, 4 servers\n");
    const CommandResult bad =
        run({"check", folder.write("bad.txtpb", "pool { nane: 1 }\npool { name: \"\" }")});
    CHECK((bad.code == command::kInvalidInput && bad.out.empty() &&
           std::count(bad.err.begin(), bad.err.end(), '\n') >= 3));

    const auto explain = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), {"explain", out});
        return run(arguments);
    };
    const CommandResult image = explain({"--path", "/img/x"});
    CHECK((image.code == command::kSuccess && image.out.find("static") != std::string::npos &&
           image.out.find("a 1.0000") != std::string::npos));
    const auto web =
        nlohmann::json::parse(explain({"--path", "/", "--down", "web/a", "b", "--json"}).out);
    CHECK((web["pool"] == "web" && web["tier"] == "backup" && web["parts"][0]["server"] == "c"));
    const auto drained = nlohmann::json::parse(explain({"--draining", "web/a", "--json"}).out);
    CHECK((drained["parts"].size() == 1 && drained["parts"][0]["server"] == "b"));
    CHECK(nlohmann::json::parse(
              explain({"--down", "web/a", "web/b", "c", "--json"}).out)["status"] == 503);
    CHECK(explain({"--down", "nobody"}).code == command::kUsageError);
    CHECK(explain({"--down", "a"}).err.find("ambiguous server name: web/a, static/a") !=
          std::string::npos);
    CHECK(explain({"--listener", "none"}).code == command::kUsageError);
    CHECK(explain({"--source", "x"}).code == command::kUsageError);
    CHECK(explain({"--header", "x"}).code == command::kUsageError);
}

TEST_CASE("wrong usage exits with 64, help and version with 0") {
    CHECK(run({"frob"}).code == command::kUsageError);
    CHECK(run({"import"}).code == command::kUsageError);
    CHECK(run({"import", "haproxy"}).code == command::kUsageError);
    CHECK(run({"import", "haproxy", "x", "--report", "xml"}).code == command::kUsageError);
    CHECK(run({"check", "a", "b"}).code == command::kUsageError);
    CHECK(run({"--version"}).out == std::string("micaroad ") + kVersion + "\n");
    for (const std::vector<std::string>& arguments : {std::vector<std::string>{"--help"},
                                                      {"import", "haproxy", "--help"},
                                                      {"check", "--help"},
                                                      {"explain", "--help"}}) {
        const CommandResult help = run(arguments);
        CHECK((help.code == 0 && help.out.find("Example: micaroad") != std::string::npos));
    }
}
