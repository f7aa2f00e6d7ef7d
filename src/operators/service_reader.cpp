// Readers of the planner's settings and of its recording.
#include <fmt/format.h>

#include "operators/address.hpp"
#include "operators/readers.hpp"

namespace micaroad::operators {

void read_planner(const Planner& message, const LocatedMessage& location,
                  routing::Service& service) {
    service.name = location.check_name("name", message.name());
    service.listen = message.listen();
    if (!is_listening_address(service.listen)) {
        location.add_fault("listen", service.listen, "invalid address",
                           "10.0.0.1:3000 or [::1]:3000; port 0 for any free port");
    }
    service.proxies = location.read_number("proxies", message.proxies(), 1, 100'000);
    service.lines_per_second =
        location.read_number("lines_per_second", message.lines_per_second(), 1, 10'000'000);
    service.lines_per_message =
        location.read_number("lines_per_message", message.lines_per_message(), 0, 1'000);
    service.max_pending_lines =
        location.read_number("lines_waiting_most", message.lines_waiting_most(), 1, 10'000'000);
    service.report_interval = location.read_duration("report_every", message.report_every());
    service.max_message_delay =
        location.read_duration("message_longest", message.message_longest());
    service.drain_grace = location.read_duration("drain_grace", message.drain_grace());
    if (service.drain_grace <= service.max_message_delay) {
        location.add_fault("drain_grace", message.drain_grace(),
                           "not longer than the maximum message delay",
                           "more than message_longest");
    }
    service.memory_mb = location.read_number("memory_mb", message.memory_mb(), 16, 65'536);
    service.sockets = location.read_number("sockets", message.sockets(), 64, 1'000'000);
}

void read_recording(const Recording& message, const LocatedMessage& location,
                    routing::Recording& recording) {
    if (!location.check_required()) {
        return;
    }
    recording.path = message.path();
    if (recording.path.empty()) {
        location.add_fault("path", "", "empty path");
    }
    recording.segment_mb = location.read_number("segment_mb", message.segment_mb(), 1, 1'024);
    recording.total_mb = location.read_number("all_mb", message.all_mb(), 2, 1'000'000);
    const int two_segments_mb = 2 * recording.segment_mb;
    if (recording.total_mb < two_segments_mb) {
        location.add_fault("all_mb", std::to_string(recording.total_mb), "less than two segments",
                           fmt::format("{} or more", two_segments_mb));
    }
    recording.max_age = location.read_duration("keep", message.keep());
    recording.kib_per_second =
        location.read_number("kib_per_second", message.kib_per_second(), 1, 1'000'000);
    recording.processor_percent =
        location.read_number("processor_percent", message.processor_percent(), 1, 100);
}

}  // namespace micaroad::operators
