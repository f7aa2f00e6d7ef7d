// tests/haproxy/*.cfg: configurations with what must be said of them, in comments that the importer
// passes over.
//
//   backend web            #= translated: pool web       a verdict, and words that what is said
//   must have
//   #! pool web a=0.25 b=0.75                             shares in the normal state; all servers
//   of the pool
//   #! state web/a draining
//   #! route LISTENER METHOD HOST PATH [src=IP] [h:NAME=VALUE] [down=POOL/SERVER] -> POOL or
//   status; HOST
//   "-": none
#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/translate.hpp"
#include "routing/view.hpp"

namespace micaroad::test {

struct Corpus {
    struct Wanted {
        std::string verdict, says;
    };
    struct Route {
        std::string line, listener, to;
        routing::Rpc rpc;
        routing::View view;
    };
    std::string name, text;
    std::map<int, Wanted> verdicts;
    std::map<std::string, std::map<std::string, double>> shares;
    std::map<std::string, std::string> states;
    std::vector<Route> routes;

    haproxy::Import import() const;
    static std::vector<Corpus> all();
    static Corpus named(const std::string& name);
};

}  // namespace micaroad::test
