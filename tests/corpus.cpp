#include "corpus.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "routing/match.hpp"

namespace micaroad::test {
namespace {

CorpusFile read_file(const std::filesystem::path& path) {
    CorpusFile file;
    file.name = path.stem().string();
    std::ifstream in(path);
    int number = 0, first_line = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        file.text += line + "\n";
        if (first_line == 0) {
            first_line = number;
        }
        if (line.ends_with('\\')) {
            continue;  // the verdict is at the end of the continuation line
        }
        const int finding_line = std::exchange(first_line, 0);
        if (const auto marker = line.find("#= "); marker != std::string::npos) {
            const std::string expected = line.substr(marker + 3);
            const auto colon = expected.find(": ");
            file.findings[finding_line] = {
                expected.substr(0, colon),
                colon == std::string::npos ? "" : expected.substr(colon + 2)};
        }
        if (!line.starts_with("#! ")) {
            continue;
        }
        std::istringstream words(line.substr(3));
        std::string directive, word;
        words >> directive;
        if (directive == "pool") {
            words >> word;
            auto& shares = file.shares[word];
            while (words >> word) {
                shares[word.substr(0, word.find('='))] = std::stod(word.substr(word.find('=') + 1));
            }
        } else if (directive == "state") {
            std::string server;
            words >> server >> file.states[server];
        } else if (directive == "route") {
            CorpusFile::Route route;
            route.directive = line;
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
            words >> route.expected;
            file.routes.push_back(std::move(route));
        } else {
            FAIL("unknown directive: " << line);
        }
    }
    return file;
}

}  // namespace

haproxy::Import CorpusFile::import() const {
    haproxy::TreeBuilder builder(haproxy::Environment{{"MICAROAD_TEST_WEIGHT", "3"}});
    builder.add(name + ".cfg", text);
    return haproxy::translate(builder.finish());
}

std::vector<CorpusFile> CorpusFile::read_all() {
    std::vector<CorpusFile> files;
    for (const auto& entry : std::filesystem::directory_iterator(HAPROXY_CORPUS)) {
        if (entry.path().extension() == ".cfg") {
            files.push_back(read_file(entry.path()));
        }
    }
    std::sort(files.begin(), files.end(),
              [](const CorpusFile& a, const CorpusFile& b) { return a.name < b.name; });
    return files;
}

CorpusFile CorpusFile::read(const std::string& name) {
    return read_file(std::filesystem::path(HAPROXY_CORPUS) / (name + ".cfg"));
}

}  // namespace micaroad::test
