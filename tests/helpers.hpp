// What several test files share.
#pragma once

#include <fcntl.h>

#include <string>

#include "log/log.hpp"
#include "micaroad/types.hpp"
#include "terms/terms.hpp"

namespace micaroad::test {

inline Names names() { return {{"lookup", "order"}, {"a", "b"}, {"m1", "m2"}}; }

inline Terms terms() {
    Terms terms;
    terms.methods = {Method{Span{15'000}, 3, false, {}, {}}, Method{Span{15'000}, 9, false, {}, {}}};
    terms.zones = 2, terms.proxies = 8;
    terms.lines_per_second = 1'000, terms.lines_per_message = 3, terms.lines_waiting_most = 2'000;
    terms.report_every = Span{5'000}, terms.message_longest = Span{5'000};
    terms.drain_grace = Span{20'000}, terms.warm_after = Span{150'000};
    terms.cold_capacity = 0.2, terms.fall_multiple = 3, terms.fall_span = Span{15'000};
    terms.levels = LevelKind::share, terms.further_tries = FurtherTry::once_if_never_ran;
    return terms;
}

// Of two servers, as a start file or discovery has it.
inline const std::string kList =
    R"({"version":41,"full":true,"servers":[)"
    R"({"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"m1","cell":0,"state":"up","weight":1.0,"started_ms":0},)"
    R"({"id":"s-2","addr":"127.0.0.1:2","zone":"b","kind":"m2","cell":1,"state":"up","weight":1.5,"started_ms":0}]})";

struct Quiet {  // a log that nobody reads
    Log log{::open("/dev/null", O_WRONLY)};
};

// A clock that stands until it is moved.
struct HandClock {
    std::int64_t tenths = 17'000'000'000'000;
    Instant now() const { return Instant{Span{tenths}}; }
};

}  // namespace micaroad::test
