// Settings, names, an endpoint list, a log and a clock that several test files use.
#pragma once

#include <fcntl.h>

#include <string>

#include "log/log.hpp"
#include "micaroad/types.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::test {

inline SymbolTable names() {
    return {{"lookup", "order"}, {"a", "b"}, {"m1", "m2"}};
}

inline DeploymentSettings sample_settings() {
    DeploymentSettings settings;
    settings.methods = {Method{Duration{15'000}, 3, false, {}, {}},
                        Method{Duration{15'000}, 9, false, {}, {}}};
    settings.zone_count = 2, settings.proxy_count = 8;
    settings.channel_lines_per_second = 1'000, settings.overhead_lines_per_message = 3,
    settings.max_pending_lines = 2'000;
    settings.report_interval = Duration{5'000}, settings.max_message_delay = Duration{5'000};
    settings.drain_grace = Duration{20'000}, settings.warm_up_duration = Duration{150'000};
    settings.cold_capacity_fraction = 0.2, settings.overload_factor = 3,
    settings.overload_window = Duration{15'000};
    settings.admission_kind = AdmissionKind::fraction,
    settings.default_retry_policy = RetryPolicy::once_if_not_executed;
    return settings;
}

/// An endpoint list of two servers, in the JSON of the start file and of discovery.
inline const std::string kTwoServerList =
    R"({"version":41,"full":true,"servers":[)"
    R"({"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"m1","cell":0,"state":"up","weight":1.0,"started_ms":0},)"
    R"({"id":"s-2","addr":"127.0.0.1:2","zone":"b","kind":"m2","cell":1,"state":"up","weight":1.5,"started_ms":0}]})";

/// A log that writes to /dev/null.
struct DiscardingLog {
    Log log{::open("/dev/null", O_WRONLY)};
};

/// A clock that moves only when a test changes `ticks` (of 0.1 ms since the epoch).
struct ManualClock {
    std::int64_t ticks = 17'000'000'000'000;
    TimePoint now() const { return TimePoint{Duration{ticks}}; }
};

// Former names, kept for golden_orders_test, golden_stored_test and net_test until their last use.
using Quiet = DiscardingLog;
using HandClock = ManualClock;

}  // namespace micaroad::test
