#include "corpus.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "routing/match.hpp"

namespace micaroad::test {
namespace {

Corpus read(const std::filesystem::path& path) {
    Corpus corpus;
    corpus.name = path.stem().string();
    std::ifstream in(path);
    int number = 0, begun = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        corpus.text += line + "\n";
        if (begun == 0) {
            begun = number;
        }
        if (line.ends_with('\\')) {
            continue;  // joined to the next: its verdict stands there
        }
        const int first = std::exchange(begun, 0);
        if (const auto at = line.find("#= "); at != std::string::npos) {
            const std::string said = line.substr(at + 3);
            const auto colon = said.find(": ");
            corpus.verdicts[first] = {said.substr(0, colon),
                                      colon == std::string::npos ? "" : said.substr(colon + 2)};
        }
        if (!line.starts_with("#! ")) {
            continue;
        }
        std::istringstream words(line.substr(3));
        std::string what, word;
        words >> what;
        if (what == "pool") {
            words >> word;
            auto& shares = corpus.shares[word];
            while (words >> word) {
                shares[word.substr(0, word.find('='))] = std::stod(word.substr(word.find('=') + 1));
            }
        } else if (what == "state") {
            std::string server;
            words >> server >> corpus.states[server];
        } else if (what == "route") {
            Corpus::Route route;
            route.line = line;
            words >> route.listener >> route.rpc.method >> route.rpc.host >> route.rpc.path;
            if (route.rpc.host == "-") {
                route.rpc.host.clear();
            }
            route.rpc.source = *routing::parse_address("8.8.8.8");
            while (words >> word && word != "->") {
                const std::string value = word.substr(word.find('=') + 1);
                if (word.starts_with("src=")) {
                    route.rpc.source = routing::parse_address(value).value();
                }
                if (word.starts_with("down=")) {
                    route.view.servers[value].up = false;
                }
                if (word.starts_with("h:")) {
                    route.rpc.headers.emplace_back(
                        routing::to_lower(word.substr(2, word.find('=') - 2)), value);
                }
            }
            words >> route.to;
            corpus.routes.push_back(std::move(route));
        } else {
            FAIL("no such directive: " << line);
        }
    }
    return corpus;
}

}  // namespace

haproxy::Import Corpus::import() const {
    haproxy::TreeBuilder builder(haproxy::Environment{{"MICAROAD_TEST_WEIGHT", "3"}});
    builder.add(name + ".cfg", text);
    return haproxy::translate(builder.finish());
}

std::vector<Corpus> Corpus::all() {
    std::vector<Corpus> all;
    for (const auto& entry : std::filesystem::directory_iterator(HAPROXY_CORPUS)) {
        if (entry.path().extension() == ".cfg") {
            all.push_back(read(entry.path()));
        }
    }
    std::sort(all.begin(), all.end(),
              [](const Corpus& a, const Corpus& b) { return a.name < b.name; });
    return all;
}

Corpus Corpus::named(const std::string& name) {
    return read(std::filesystem::path(HAPROXY_CORPUS) / (name + ".cfg"));
}

}  // namespace micaroad::test
