// The watch's sources, requests and retries. A single connection is in discovery_connection.cpp.
#include "net/discovery_watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace micaroad::net {

using std::chrono::steady_clock;

namespace {

constexpr const char* kFetchTarget = "/catalog/members";

}  // namespace

DiscoveryWatch::DiscoveryWatch(std::string host, Address address, SymbolTable names,
                               std::int64_t version, std::size_t max_list_bytes,
                               protocol::BufferPool& pool, Inbox& inbox, Log& log,
                               WatchTimeouts timeouts, SyncPoints* sync)
    : timeouts_(timeouts),
      max_list_bytes_(max_list_bytes),
      pool_(pool),
      inbox_(inbox),
      log_(log),
      sync_(sync),
      names_(std::move(names)),
      newest_source_{std::move(host), address, 0},
      version_(version) {}

DiscoveryWatch::~DiscoveryWatch() {
    stop();
}

bool DiscoveryWatch::start() {
    const std::lock_guard lock(mutex_);
    const bool started = threads_.start([this, source = newest_source_] { run(source); });
    running_sources_ = started ? 1 : 0;
    return started;
}

void DiscoveryWatch::begin_stop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    interrupt_superseded();
}

void DiscoveryWatch::stop() {
    begin_stop();
    threads_.wait();
}

void DiscoveryWatch::fetch() {
    const std::lock_guard lock(mutex_);
    if (fetch_wanted_) {
        return;
    }
    fetch_wanted_ = true;
    const auto current = sockets_.find(current_generation_);
    if (current != sockets_.end()) {
        current->second->shut_down();
    }
}

void DiscoveryWatch::follow(std::string host, Address address) {
    const std::lock_guard lock(mutex_);
    if (stopping_ || host == newest_source_.host) {
        return;
    }
    newest_source_ = {std::move(host), address, newest_source_.generation + 1};
    interrupt_superseded();
    if (running_sources_ == kMaxSources) {
        return;  // the first thread whose source must stop takes the new one
    }
    const bool started = threads_.start([this, source = newest_source_] { run(source); });
    started_generation_ = newest_source_.generation;
    if (started) {
        ++running_sources_;
        return;
    }
    log_.error("discovery: address not followed server={} reason=\"no thread\"",
               newest_source_.host);
    newest_source_.host.clear();  // so that follow() accepts the same host again
}

// True if the watch is stopping, if the source is superseded, or if it is neither current nor the
// newest.
bool DiscoveryWatch::must_stop(int generation) const {
    const bool current = generation == current_generation_;
    return stopping_ || generation < current_generation_ ||
           (!current && generation != newest_source_.generation);
}

// Only the current source fetches: a new source sends the complete list first anyway.
bool DiscoveryWatch::wants_fetch(int generation) const {
    return fetch_wanted_ && generation == current_generation_;
}

bool DiscoveryWatch::is_interrupted(const Source& source, RequestKind under_way) {
    const std::lock_guard lock(mutex_);
    if (must_stop(source.generation)) {
        return true;
    }
    return under_way == RequestKind::watch && wants_fetch(source.generation);
}

void DiscoveryWatch::interrupt_superseded() {
    for (const auto& [generation, socket] : sockets_) {
        if (must_stop(generation)) {
            socket->shut_down();
        }
    }
    interrupted_.notify_all();
}

// Waits for `time`, or until the source must stop.
void DiscoveryWatch::pause(int generation, std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    (void)interrupted_.wait_for(lock, time, [this, generation] { return must_stop(generation); });
}

// Makes a source that has sent a line the current one. Returns false if it must stop.
bool DiscoveryWatch::make_current(const Source& source) {
    if (must_stop(source.generation)) {
        return false;
    }
    if (current_generation_ == source.generation) {
        return true;
    }
    current_generation_ = source.generation;
    log_.info("discovery: source changed server={}", source.host);
    interrupt_superseded();
    return true;
}

// Returns the next request, or nothing if the thread must end. A thread whose source must stop
// takes the newest source if no other thread has it.
std::optional<DiscoveryWatch::Request> DiscoveryWatch::next_request(Source& source,
                                                                    int failed_fetches) {
    const std::lock_guard lock(mutex_);
    if (must_stop(source.generation)) {
        // The thread ends unless a source was given while every thread had one: no other thread
        // would follow that source.
        if (stopping_ || started_generation_ == newest_source_.generation) {
            --running_sources_;
            return std::nullopt;
        }
        source = newest_source_;
        started_generation_ = newest_source_.generation;
    }
    if (wants_fetch(source.generation) && failed_fetches >= kMaxFetches) {
        fetch_wanted_ = false;
        version_ = 0;
    }
    if (wants_fetch(source.generation)) {
        return Request{RequestKind::fetch, kFetchTarget};
    }
    return Request{RequestKind::watch, fmt::format("{}?stream=1&index={}", kFetchTarget, version_)};
}

// Logs a failed connection. Only the current source's failure is reported to the core: a new source
// that has sent nothing yet does not affect the list.
void DiscoveryWatch::report_loss(const Source& source, const WatchEnd& end) {
    const std::lock_guard lock(mutex_);
    const bool current = source.generation == current_generation_;
    log_.warn("discovery: watch lost server={} reason=\"{}\" kept={}", source.host, describe(end),
              current ? "list" : "old_source");
    if (current) {
        inbox_.put(core_event::WatchLost{});
    }
}

void DiscoveryWatch::run(Source source) {
    RetryState retry = initial_retry_state();
    auto next_fetch = steady_clock::now();
    int generation = source.generation;
    while (const auto request = next_request(source, retry.failed_fetches)) {
        if (source.generation != generation) {
            generation = source.generation;
            retry = initial_retry_state();
        }
        if (request->kind == RequestKind::fetch) {
            const auto early = next_fetch - steady_clock::now();
            if (early > early.zero()) {
                pause(source.generation, std::chrono::ceil<std::chrono::milliseconds>(early));
            }
            next_fetch = steady_clock::now() + timeouts_.fetch_interval;
        }
        const WatchEnd end = connect_and_read(source, *request);
        reach(sync_, SyncPoint::watch_responded);
        on_connection_ended(source, request->kind, end, retry);
    }
}

// Logs a loss once and pauses, unless the connection ended as intended: the fetched list was
// received, or another request is due at once.
void DiscoveryWatch::on_connection_ended(const Source& source, RequestKind kind,
                                         const WatchEnd& end, RetryState& retry) {
    const bool fetching = kind == RequestKind::fetch;
    const bool too_long = end.cause == WatchEndCause::list_too_long;
    const bool interrupted = is_interrupted(source, RequestKind::watch);
    retry.failed_fetches = fetching && interrupted ? retry.failed_fetches + 1 : 0;
    // A list over the limit is logged once, not again after each empty line that precedes it.
    if (end.phase == WatchPhase::following && !too_long) {
        retry.backoff = timeouts_.initial_backoff;
        retry.loss_logged = false;
    }
    const bool fetched = fetching && !interrupted;
    if (fetched) {
        return;
    }
    if (fetching ? is_interrupted(source, RequestKind::fetch) : interrupted) {
        return;
    }
    if (!retry.loss_logged) {
        retry.loss_logged = true;
        report_loss(source, end);
    }
    pause(source.generation, too_long ? timeouts_.oversized_list_backoff : retry.backoff);
    retry.backoff = std::min(retry.backoff * 2, timeouts_.max_backoff);
}

// Handles one received line: a list, or none for an empty line, which only shows that the source is
// alive. Returns false if the source must stop.
bool DiscoveryWatch::accept_line(const Source& source,
                                 std::optional<protocol::EndpointListMessage> message) {
    if (!make_current(source)) {
        return false;
    }
    if (!message) {
        return true;
    }
    const bool complete = message->list.form == event::EndpointListUpdate::Form::complete;
    if (complete) {
        // Cleared only now, so that a response that breaks off is requested again.
        fetch_wanted_ = false;
    }
    if (complete || message->version > version_) {
        version_ = message->version;
    }
    inbox_.put(core_event::EndpointListReceived{std::move(*message)});
    return true;
}

}  // namespace micaroad::net
