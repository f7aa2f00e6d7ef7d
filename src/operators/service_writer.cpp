// Writers of the planner's settings and of its recording.
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
    if (service.max_pending_lines != defaults.max_pending_lines) {
        message.set_lines_waiting_most(to_unsigned(service.max_pending_lines));
    }
    if (service.report_interval != defaults.report_interval) {
        message.set_report_every(format_duration(service.report_interval));
    }
    if (service.max_message_delay != defaults.max_message_delay) {
        message.set_message_longest(format_duration(service.max_message_delay));
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
    if (recording.total_mb != defaults.total_mb) {
        message.set_all_mb(to_unsigned(recording.total_mb));
    }
    if (recording.max_age != defaults.max_age) {
        message.set_keep(format_duration(recording.max_age));
    }
    if (recording.kib_per_second != defaults.kib_per_second) {
        message.set_kib_per_second(to_unsigned(recording.kib_per_second));
    }
    if (recording.processor_percent != defaults.processor_percent) {
        message.set_processor_percent(to_unsigned(recording.processor_percent));
    }
}

}  // namespace micaroad::operators
