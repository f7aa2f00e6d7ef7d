// The command line as a person or a program meets it: what goes where, exit codes, and files that
// are whole or not there.
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

struct Folder {
    fs::path path = fs::temp_directory_path() / ("micaroad-command-" + std::to_string(::getpid()));
    Folder() { fs::create_directories(path); }
    ~Folder() { fs::remove_all(path); }
    std::string file(const char* name, const std::string& text) const {
        std::ofstream(path / name) << text;
        return (path / name).string();
    }
    std::string at(const char* name) const { return (path / name).string(); }
    std::size_t files() const {
        return static_cast<std::size_t>(std::distance(fs::directory_iterator(path), {}));
    }
};
std::string read(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

struct Ran {
    int code;
    std::string out, err;
};
Ran run(std::vector<std::string> words) {
    std::ostringstream out, err;
    const int code = command::run(words, out, err);
    return {code, out.str(), err.str()};
}

const std::string kShop = R"(defaults
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

TEST_CASE("import writes the operator's file, tells its findings, and ends by its codes") {
    const Folder folder;
    const std::string cfg = folder.file("shop.cfg", kShop), out = folder.at("operator.txtpb");
    const Ran plain = run({"import", "haproxy", cfg});
    CHECK((plain.code == command::kSuccess && plain.out.find("pool {") != std::string::npos));
    CHECK((plain.out.starts_with("# Made by") &&
           plain.err.find("changed: balance") != std::string::npos));
    const Ran kept = run({"import", "haproxy", cfg, "--out", out});
    CHECK((kept.code == command::kSuccess &&
           kept.out.ends_with("14 lines: 11 translated, 2 changed, 1 refused, 0 no_effect\n")));
    CHECK(read(out) == plain.out);
    const Ran strict =
        run({"import", "haproxy", cfg, "--out", out, "--report", "json", "--strict"});
    CHECK(strict.code == command::kFindings);
    const auto report = nlohmann::json::parse(strict.out);
    CHECK((report["file"] == cfg && report["findings"].size() == 14 &&
           report["pools"][0]["servers"][1]["share"] == 0.75));
    CHECK(report["findings"][10]["verdict"] == "refused");
    CHECK(report["pools"][0]["servers"][2]["tier"] == "backup");
    const std::string plain_cfg = folder.file(
        "plain.cfg", "defaults\n timeout connect 1s\nbackend web\n server a 10.0.0.1:80\n");
    CHECK(run({"import", "haproxy", plain_cfg, "--report", "text", "--strict"}).code ==
          command::kFindings);  // no timeout server
}

TEST_CASE("what can't be used leaves the result as it was, and no part of another") {
    const Folder folder;
    const std::string out = folder.file("operator.txtpb", "old");
    const std::string bad = folder.file("bad.cfg", "backend web\n server a \"10.0.0.1\n");
    const Ran ran = run({"import", "haproxy", bad, "--out", out});
    CHECK((ran.code == command::kInvalidInput && ran.out.empty() &&
           ran.err == bad + ":2:11: unterminated quote\n"));
    CHECK(read(out) == "old");
    CHECK(run({"import", "haproxy", folder.at("none.cfg"), "--out", out}).code ==
          command::kInvalidInput);
    const std::string cfg = folder.file("shop.cfg", kShop);
    const auto before = folder.files();
    CHECK(run({"import", "haproxy", cfg, "--out", folder.at("no/where.txtpb")}).code ==
          command::kInvalidInput);
    CHECK(folder.files() == before);
    // Where the rename fails, nothing of it is left beside.
    fs::create_directory(folder.path / "dir");
    const auto failed = command::write_atomically(folder.at("dir"), "text");
    REQUIRE(!failed);
    CHECK(failed.error().step == command::WriteError::Step::rename);
    CHECK(command::describe(failed.error()).find("can't be renamed") != std::string::npos);
    ::chmod(out.c_str(), 0600);
    CHECK(command::write_atomically(out, "new"));
    CHECK(read(out) == "new");
    struct stat now{};
    ::stat(out.c_str(), &now);
    CHECK((now.st_mode & 0777) == 0600);
    CHECK(folder.files() == before + 1);  // with the folder
}

TEST_CASE("check names every fault; explain tells route, pool, tier, parts and why") {
    const Folder folder;
    const std::string out = folder.at("o.txtpb");
    run({"import", "haproxy", folder.file("shop.cfg", kShop), "--out", out});
    CHECK(run({"check", out}).out == out + ": valid: 1 listeners, 1 routes, 2 pools, 4 servers\n");
    const Ran bad =
        run({"check", folder.file("bad.txtpb", "pool { nane: 1 }\npool { name: \"\" }")});
    CHECK((bad.code == command::kInvalidInput && bad.out.empty() &&
           std::count(bad.err.begin(), bad.err.end(), '\n') >= 3));

    const auto explain = [&](std::vector<std::string> words) {
        words.insert(words.begin(), {"explain", out});
        return run(words);
    };
    const Ran image = explain({"--path", "/img/x"});
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

TEST_CASE("wrong usage ends with 64, help and version with 0") {
    CHECK(run({"frob"}).code == command::kUsageError);
    CHECK(run({"import"}).code == command::kUsageError);
    CHECK(run({"import", "haproxy"}).code == command::kUsageError);
    CHECK(run({"import", "haproxy", "x", "--report", "xml"}).code == command::kUsageError);
    CHECK(run({"check", "a", "b"}).code == command::kUsageError);
    CHECK(run({"--version"}).out == std::string("micaroad ") + kVersion + "\n");
    for (const std::vector<std::string>& words : {std::vector<std::string>{"--help"},
                                                  {"import", "haproxy", "--help"},
                                                  {"check", "--help"},
                                                  {"explain", "--help"}}) {
        const Ran help = run(words);
        CHECK((help.code == 0 && help.out.find("Example: micaroad") != std::string::npos));
    }
}
