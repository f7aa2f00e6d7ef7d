#include "net/discovery_watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "protocol/http.hpp"

namespace micaroad::net {

using std::chrono::steady_clock;

DiscoveryWatch::DiscoveryWatch(std::string host, Address address, SymbolTable names,
                               std::int64_t version, std::size_t list_bytes,
                               protocol::BufferPool& pool, Inbox& inbox, Log& log,
                               Patience patience, SyncPoints* sync)
    : patience_(patience),
      list_bytes_(list_bytes),
      pool_(pool),
      inbox_(inbox),
      log_(log),
      names_(std::move(names)),
      newest_{std::move(host), address, 0},
      version_(version),
      sync_(sync) {}

DiscoveryWatch::~DiscoveryWatch() {
    stop();
}

bool DiscoveryWatch::start() {
    const std::lock_guard lock(mutex_);
    running_ = threads_.start([this, source = newest_] { watch_on(source); }) ? 1 : 0;
    return running_ > 0;
}

void DiscoveryWatch::begin_stop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    leave_old();
}

void DiscoveryWatch::stop() {
    begin_stop();
    threads_.wait();
}

void DiscoveryWatch::fetch() {
    const std::lock_guard lock(mutex_);
    if (std::exchange(fetch_, true)) {
        return;  // it is on its way
    }
    if (const auto live = live_.find(spoken_); live != live_.end()) {
        live->second->shut_down();
    }
}

void DiscoveryWatch::follow(std::string host, Address address) {
    const std::lock_guard lock(mutex_);
    if (stopping_ || host == newest_.host) {
        return;
    }
    newest_ = {std::move(host), address, newest_.turn + 1};
    leave_old();
    if (running_ == kMostSources) {
        return;  // the first that ends takes it up
    }
    if (threads_.start([this, source = newest_] { watch_on(source); })) {
        ++running_, begun_ = newest_.turn;
        return;
    }
    log_.error("discovery: no thread for {}: the old address stays", newest_.host);
    begun_ = newest_.turn, newest_.host.clear();  // so that it can be told again
}

bool DiscoveryWatch::over(int turn) const {
    return stopping_ || turn < spoken_ || (turn != spoken_ && turn != newest_.turn);
}

void DiscoveryWatch::leave_old() {
    for (const auto& [turn, socket] : live_) {
        if (over(turn)) {
            socket->shut_down();
        }
    }
    wake_.notify_all();
}

bool DiscoveryWatch::pause(int turn, std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    return !wake_.wait_for(lock, time, [this, turn] { return over(turn); });
}

bool DiscoveryWatch::interrupted(const Source& source, bool whole) {
    const std::lock_guard lock(mutex_);
    return over(source.turn) || (!whole && source.turn == spoken_ && fetch_);
}

bool DiscoveryWatch::speaks(const Source& source) {
    if (over(source.turn)) {
        return false;
    }
    if (std::exchange(spoken_, source.turn) == source.turn) {
        return true;
    }
    log_.info("discovery: {} has spoken, what was followed before is left", source.host);
    leave_old();
    return true;
}

std::optional<DiscoveryWatch::Asked> DiscoveryWatch::next_question(Source& source, int failed) {
    const std::lock_guard lock(mutex_);
    if (over(source.turn)) {
        // Guards against an address that was told while every thread still had one: none would take
        // it up.
        if (stopping_ || begun_ == newest_.turn) {
            return --running_, std::nullopt;
        }
        source = newest_, begun_ = newest_.turn;
    }
    if (source.turn == spoken_ && fetch_ && failed >= kFetchTries) {
        fetch_ = false, version_ = 0;
    }
    if (source.turn == spoken_ && fetch_) {
        return Asked{"/catalog/members", true};
    }
    return Asked{fmt::format("/catalog/members?stream=1&index={}", version_)};
}

// Only the list that holds can be lost: one that was told and has never spoken takes nothing away.
void DiscoveryWatch::lost(const Source& source, const std::string& why) {
    const std::lock_guard lock(mutex_);
    const bool holds = source.turn == spoken_;
    log_.warn("discovery: {}: {}; the {} stands", source.host, why, holds ? "list" : "old address");
    if (holds) {
        inbox_.put(core_event::WatchLost{});
    }
}

void DiscoveryWatch::watch_on(Source source) {
    auto wait = patience_.first_wait;
    auto next_fetch = steady_clock::now();
    int failed = 0, turn = source.turn;  // fetches in a row
    for (bool said = false; const auto asked = next_question(source, failed);) {
        if (std::exchange(turn, source.turn) != source.turn) {
            wait = patience_.first_wait, said = false, failed = 0;
        }
        if (asked->whole) {
            const auto early = next_fetch - steady_clock::now();
            if (early > early.zero()) {
                pause(source.turn, std::chrono::ceil<std::chrono::milliseconds>(early));
            }
            next_fetch = steady_clock::now() + patience_.between_fetches;
        }
        const Ended ended = listen_to(source, *asked);
        reach(sync_, SyncPoint::watch_answered);
        const bool wanted = interrupted(source, false);  // the list, or the end
        failed = asked->whole && wanted ? failed + 1 : 0;
        // What is too long is said once, not after each empty line that came before it.
        if (ended.heard && !ended.too_long) {
            wait = patience_.first_wait, said = false;
        }
        if (asked->whole ? !wanted || interrupted(source, true) : wanted) {
            continue;
        }
        if (!std::exchange(said, true)) {
            lost(source, ended.why);
        }
        pause(source.turn, ended.too_long ? patience_.after_too_long : wait);
        wait = std::min(wait * 2, patience_.longest_wait);
    }
}

DiscoveryWatch::Ended DiscoveryWatch::listen_to(const Source& source, const Asked& asked) {
    Socket socket = Socket::unconnected(source.address);
    if (!socket.open()) {
        return {"no socket"};
    }
    struct Live {
        DiscoveryWatch& watch;
        const int turn;
        Live(DiscoveryWatch& watch, int turn, const Socket& socket) : watch(watch), turn(turn) {
            const std::lock_guard lock(watch.mutex_);
            watch.live_[turn] = &socket;
        }
        ~Live() {
            const std::lock_guard lock(watch.mutex_);
            watch.live_.erase(turn);
        }
    } live{*this, source.turn, socket};
    if (interrupted(source, asked.whole)) {
        return {"stopped"};
    }
    reach(sync_, SyncPoint::watch_registered);
    if (!socket.connect(source.address, patience_.connect)) {
        return {"no connection"};
    }
    reach(sync_, SyncPoint::watch_connected);
    // A socket that is shut down before it is connected may not hear of it: what was told in
    // between is looked up.
    if (interrupted(source, asked.whole)) {
        return {"stopped"};
    }
    socket.wait_at_most(patience_.silence);
    if (!socket.send_all(protocol::http_get(source.host, asked.target))) {
        return {"reset"};
    }
    reach(sync_, SyncPoint::watch_asked);

    return read_lists(source, asked, socket);
}

DiscoveryWatch::Ended DiscoveryWatch::read_lists(const Source& source, const Asked& asked,
                                                 const Socket& socket) {
    using protocol::EndpointListError;
    protocol::HttpReader http;
    const auto framing =
        asked.whole ? protocol::EndpointListFraming::document : protocol::EndpointListFraming::line;
    protocol::EndpointListParser lists(names_, framing, list_bytes_);
    const protocol::BufferPool::Lease buffer = pool_.take();
    if (!buffer) {
        return {"no buffer left"};
    }
    auto last_line = steady_clock::now();
    bool heard = false, wanted = true, line = false;
    // Under the mutex, so no clock is read here.
    const auto take_one = [&](std::optional<protocol::EndpointListMessage> said) {
        line = true;
        wanted = wanted && take(source, std::move(said));
        heard |= wanted;
    };
    for (;;) {
        const ssize_t got = socket.receive(buffer->data(), buffer->size());
        if (got == -2) {
            return {"silence", heard};
        }
        if (got < 0) {
            return {"reset", heard};
        }
        if (got == 0 && !http.end()) {
            return {"its end", heard};
        }
        EndpointListError fault = EndpointListError::none;
        const auto feed = [&](std::string_view body) {
            if (http.status() != 200 || fault != EndpointListError::none) {
                return;
            }
            // The names are shared. And held for the inbox too: a left source says nothing behind a
            // later one.
            const std::lock_guard lock(mutex_);
            fault = lists.feed(body, take_one);
        };
        const bool sound = http.feed({buffer->data(), static_cast<std::size_t>(got)}, feed);
        if (http.in_body() && http.status() != 200) {
            return {fmt::format("status {}", http.status()), heard};
        }
        if (!sound) {
            return {"an answer that can't be read", heard};
        }
        if (http.done() && fault == EndpointListError::none) {
            const std::lock_guard lock(mutex_);
            fault = lists.finish(take_one);
        }
        if (fault == EndpointListError::too_long) {
            return {fmt::format("a list over {} bytes, which the memory limit allows", list_bytes_),
                    heard, true};
        }
        if (fault == EndpointListError::malformed || !wanted) {
            return {"a list that can't be read", heard};
        }
        if (http.done()) {
            return {"the answer's end", heard};
        }
        const auto now = steady_clock::now();
        if (std::exchange(line, false)) {
            last_line = now;
        }
        if (now - last_line > time_for(lists.size())) {
            return {"no whole line in time", heard};
        }
    }
}

std::chrono::milliseconds DiscoveryWatch::time_for(std::size_t list_size) const {
    return patience_.whole_line +
           std::chrono::milliseconds{1'000 * list_size / Patience::kSlowestList};
}

bool DiscoveryWatch::take(const Source& source, std::optional<protocol::EndpointListMessage> said) {
    if (!speaks(source)) {
        return false;
    }
    if (!said) {
        return true;
    }
    const bool whole = said->list.form == event::EndpointListUpdate::Form::complete;
    if (whole) {
        fetch_ = false;  // not before it has come: an answer that breaks off is asked for again
    }
    if (whole || said->version > version_) {
        version_ = said->version;
    }
    inbox_.put(core_event::EndpointListReceived{std::move(*said)});
    return true;
}

}  // namespace micaroad::net
