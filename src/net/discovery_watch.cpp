#include "net/discovery_watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "protocol/http.hpp"

namespace micaroad::net {

using std::chrono::steady_clock;

DiscoveryWatch::DiscoveryWatch(std::string host, Address address, Names names, std::int64_t version,
                               protocol::Pool& pool, Inbox& inbox, Log& log, Patience patience)
    : patience_(patience),
      pool_(pool),
      inbox_(inbox),
      log_(log),
      reader_(std::move(names)),
      newest_{std::move(host), address, 0},
      version_(version) {}

DiscoveryWatch::~DiscoveryWatch() { stop(); }

bool DiscoveryWatch::start() {
    return threads_.start([this, source = newest_] { watch_on(source); });
}

void DiscoveryWatch::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        leave_old();
    }
    threads_.wait();
}

void DiscoveryWatch::fetch() {
    const std::lock_guard lock(mutex_);
    fetch_ = true;
    if (const auto live = live_.find(spoken_); live != live_.end()) live->second->shut_down();
}

void DiscoveryWatch::follow(std::string host, Address address) {
    Source source;
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || host == newest_.host) return;
        source = newest_ = {std::move(host), address, newest_.turn + 1};
        leave_old();
    }
    if (threads_.start([this, source] { watch_on(source); })) return;
    log_.error("discovery: no thread for {}: the old address stays", source.host);
    const std::lock_guard lock(mutex_);
    newest_.host.clear();  // so that it can be told again
}

bool DiscoveryWatch::over(int turn) const {
    return stopping_ || turn < spoken_ || (turn != spoken_ && turn != newest_.turn);
}

void DiscoveryWatch::leave_old() {
    for (const auto& [turn, socket] : live_) {
        if (over(turn)) socket->shut_down();
    }
    wake_.notify_all();
}

bool DiscoveryWatch::pause(int turn, std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    return !wake_.wait_for(lock, time, [this, turn] { return over(turn); });
}

bool DiscoveryWatch::wants_fetch(int turn) {
    const std::lock_guard lock(mutex_);
    return (turn == spoken_ && fetch_) || over(turn);
}

bool DiscoveryWatch::speaks(const Source& source) {
    if (over(source.turn)) return false;
    if (std::exchange(spoken_, source.turn) == source.turn) return true;
    log_.info("discovery: {} has spoken, what was followed before is left", source.host);
    leave_old();
    return true;
}

void DiscoveryWatch::watch_on(const Source& source) {
    auto wait = patience_.first_wait;
    for (bool said = false;;) {
        bool heard = false, fetches;
        std::int64_t version;
        {
            const std::lock_guard lock(mutex_);
            if (over(source.turn)) return;
            fetches = source.turn == spoken_ && std::exchange(fetch_, false);
            version = version_;
        }
        const std::string target =
            fetches ? "/catalog/members" : fmt::format("/catalog/members?stream=1&index={}", version);
        const std::string why = listen_to(source, target, heard);
        if (heard) wait = patience_.first_wait, said = false;
        if ((fetches && heard) || wants_fetch(source.turn)) continue;
        if (!std::exchange(said, true)) {
            log_.warn("discovery: {}: {}; the list stands", source.host, why);
            inbox_.put(arrival::WatchLost{});
        }
        if (!pause(source.turn, wait)) return;
        wait = std::min(wait * 2, patience_.longest_wait);
    }
}

std::string DiscoveryWatch::listen_to(const Source& source, const std::string& target, bool& heard) {
    Socket socket = Socket::unconnected(source.address);
    if (!socket.open()) return "no socket";
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
    if (wants_fetch(source.turn)) return "stopped";
    if (!socket.connect(source.address, patience_.connect)) return "no connection";
    socket.wait_at_most(patience_.silence);
    if (!socket.send_all(protocol::http_get(source.host, target))) return "reset";

    protocol::HttpReader http;
    protocol::ObjectLines lines;
    const protocol::Pool::Lease buffer = pool_.take();
    if (!buffer) return "no buffer left";
    auto last_line = steady_clock::now();
    for (;;) {
        const ssize_t got = socket.receive(buffer->data(), buffer->size());
        if (got == -2) return "silence";
        if (got < 0) return "reset";
        if (got == 0 && !http.end()) return "its end";
        bool fits = true, readable = true;
        const bool sound =
            http.feed({buffer->data(), static_cast<std::size_t>(got)}, [&](std::string_view body) {
                if (http.status() != 200) return;
                fits = fits && lines.feed(body, [&](std::string_view line) {
                    last_line = steady_clock::now();
                    if (readable) readable = take(source, line), heard |= readable;
                });
            });
        if (http.in_body() && http.status() != 200) return fmt::format("status {}", http.status());
        if (!sound) return "an answer that can't be read";
        if (!fits) return "a list that is too long";
        if (!readable) return "a list that can't be read";
        if (http.done()) {
            const std::string rest = lines.rest();
            if (!rest.empty()) heard = take(source, rest);
            return "the answer's end";
        }
        if (steady_clock::now() - last_line > patience_.whole_line) return "no whole line in time";
    }
}

// An empty line is a sign of life as good as any.
bool DiscoveryWatch::take(const Source& source, std::string_view line) {
    const std::lock_guard lock(
        mutex_);  // held for the inbox too: a left source says nothing behind a later one
    std::optional<protocol::ListSaid> said;
    if (line.find_first_not_of(" \t") != std::string_view::npos && !(said = reader_.read(line))) return false;
    if (!speaks(source)) return false;
    if (!said) return true;
    if (said->list.form == event::List::Form::complete || said->version > version_) version_ = said->version;
    inbox_.put(arrival::ListTold{std::move(*said)});
    return true;
}

}  // namespace micaroad::net
