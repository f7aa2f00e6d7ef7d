// The words of `server`, `default-server` and `server-template`.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "haproxy/tree.hpp"
#include "routing/plan.hpp"

namespace micaroad::haproxy {

// What such a line says of a server; a default-server's words are the beginning of those behind it.
struct ServerWords {
    int weight = 1;
    bool backup = false, disabled = false, check = false;
    std::optional<Duration> inter, fast_inter, down_inter;
    std::optional<int> rise, fall, error_limit;
    bool observes = false;
    std::string on_error;
    Duration slow_start{};
    int max_conn = 0, min_conn = 0, max_queue = 0;
    std::string track, cookie;
    bool left_out =
        false;  // a value that the original itself refuses: no server comes of this line
};

// Reads words from `from` on into `words`, and says of the line what there is to say.
void read_server_words(const Statement& statement, std::size_t from, ServerWords& words,
                       Findings& findings);

}  // namespace micaroad::haproxy
