// The corpus tests/haproxy/*.cfg: configurations that contain the expected results of their import,
// in comments that the importer ignores.
//
// After a line, its expected verdict and a text that the finding must contain:
//
//   backend web            #= translated: pool web
//
// The shares of all servers of a pool in the normal state, and the state of a server:
//
//   #! pool web a=0.25 b=0.75
//   #! state web/a draining
//
// An RPC and the pool or the HTTP status that it must lead to. HOST "-" stands for no host:
//
//   #! route LISTENER METHOD HOST PATH [src=IP] [h:NAME=VALUE] [down=POOL/SERVER] -> POOL|STATUS
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/translate.hpp"
#include "routing/view.hpp"

namespace micaroad::test {

// One file of the corpus with its expected results.
struct CorpusFile {
    struct ExpectedFinding {
        std::string verdict, says;
    };
    struct Route {
        std::string directive, listener, expected;
        routing::Rpc rpc;
        routing::View view;
    };
    std::string name, text;                                       // name: without ".cfg"
    std::map<int, ExpectedFinding> findings;                      // by line number
    std::map<std::string, std::map<std::string, double>> shares;  // by pool and server
    std::map<std::string, std::string> states;                    // by "pool/server"
    std::vector<Route> routes;

    haproxy::Import import() const;
    // Reads all files of the corpus, ordered by name.
    static std::vector<CorpusFile> read_all();
    // Reads the file NAME.cfg.
    static CorpusFile read(const std::string& name);
};

}  // namespace micaroad::test
