// The planner that serves the file, and its recording.
#include "operators/duration.hpp"
#include "operators/writers.hpp"

namespace micaroad::operators {

void write_planner(const routing::Service& service, Planner& message) {
    const routing::Service defaults;
    if (service.name != defaults.name) {
        message.set_name(service.name);
    }
    if (service.listen != defaults.listen) {
        message.set_listen(service.listen);
    }
    if (service.proxies != defaults.proxies) {
        message.set_proxies(to_unsigned(service.proxies));
    }
    if (service.lines_per_second != defaults.lines_per_second) {
        message.set_lines_per_second(to_unsigned(service.lines_per_second));
    }
    if (service.lines_per_message != defaults.lines_per_message) {
        message.set_lines_per_message(to_unsigned(service.lines_per_message));
    }
    if (service.lines_waiting_most != defaults.lines_waiting_most) {
        message.set_lines_waiting_most(to_unsigned(service.lines_waiting_most));
    }
    if (service.report_every != defaults.report_every) {
        message.set_report_every(format_duration(service.report_every));
    }
    if (service.message_longest != defaults.message_longest) {
        message.set_message_longest(format_duration(service.message_longest));
    }
    if (service.drain_grace != defaults.drain_grace) {
        message.set_drain_grace(format_duration(service.drain_grace));
    }
    if (service.memory_mb != defaults.memory_mb) {
        message.set_memory_mb(to_unsigned(service.memory_mb));
    }
    if (service.sockets != defaults.sockets) {
        message.set_sockets(to_unsigned(service.sockets));
    }
}

void write_recording(const routing::Recording& recording, Recording& message) {
    const routing::Recording defaults;
    message.set_path(recording.path);
    if (recording.segment_mb != defaults.segment_mb) {
        message.set_segment_mb(to_unsigned(recording.segment_mb));
    }
    if (recording.all_mb != defaults.all_mb) {
        message.set_all_mb(to_unsigned(recording.all_mb));
    }
    if (recording.keep != defaults.keep) {
        message.set_keep(format_duration(recording.keep));
    }
    if (recording.kib_per_second != defaults.kib_per_second) {
        message.set_kib_per_second(to_unsigned(recording.kib_per_second));
    }
    if (recording.processor_percent != defaults.processor_percent) {
        message.set_processor_percent(to_unsigned(recording.processor_percent));
    }
}

}  // namespace micaroad::operators
