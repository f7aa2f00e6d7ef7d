#include "net/discovery_watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "protocol/http.hpp"

namespace micaroad::net {

using std::chrono::steady_clock;

DiscoveryWatch::DiscoveryWatch(std::string host, Address address, Names names, std::int64_t version,
                               protocol::Pool& pool, Inbox& inbox, Log& log, Patience patience)
    : host_(std::move(host)),
      address_(address),
      patience_(patience),
      reader_(std::move(names)),
      version_(version),
      pool_(pool),
      inbox_(inbox),
      log_(log) {}

DiscoveryWatch::~DiscoveryWatch() { stop(); }

bool DiscoveryWatch::start() {
    return crew_.start([this] { watch_on(); });
}

void DiscoveryWatch::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        if (live_) live_->shut_down();
    }
    wake_.notify_all();
    crew_.wait();
}

void DiscoveryWatch::fetch() {
    const std::lock_guard lock(mutex_);
    fetch_ = true;
    if (live_) live_->shut_down();
}

bool DiscoveryWatch::pause(std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    return !wake_.wait_for(lock, time, [this] { return stopping_; });
}

bool DiscoveryWatch::wants_fetch() {
    const std::lock_guard lock(mutex_);
    return fetch_ || stopping_;
}

void DiscoveryWatch::watch_on() {
    auto wait = patience_.first_wait;
    for (bool said = false;;) {
        bool heard = false, fetches;
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) return;
            fetches = std::exchange(fetch_, false);
        }
        const std::string target =
            fetches ? "/catalog/members" : fmt::format("/catalog/members?stream=1&index={}", version_);
        const std::string why = follow(target, heard);
        if (heard) wait = patience_.first_wait, said = false;
        if ((fetches && heard) || wants_fetch()) continue;
        if (!std::exchange(said, true)) {
            log_.warn("discovery: {}; the list of version {} stands", why, version_);
            inbox_.put(arrival::WatchLost{});
        }
        if (!pause(wait)) return;
        wait = std::min(wait * 2, patience_.longest_wait);
    }
}

std::string DiscoveryWatch::follow(const std::string& target, bool& heard) {
    Socket socket = Socket::unconnected(address_);
    const auto live = [this](const Socket* now) {
        const std::lock_guard lock(mutex_);
        live_ = now;
        return !stopping_;
    };
    if (!socket.open()) return "no socket";
    struct Unset {
        decltype(live)& set;
        ~Unset() { set(nullptr); }
    } unset{live};
    if (!live(&socket)) return "stopped";
    if (!socket.connect(address_, patience_.connect)) return "no connection";
    socket.wait_at_most(patience_.silence);
    if (!socket.send_all(protocol::http_get(host_, target))) return "reset";

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
                    if (line.empty())
                        heard = true;
                    else if (readable)
                        readable = take(line), heard |= readable;
                });
            });
        if (http.in_body() && http.status() != 200) return fmt::format("status {}", http.status());
        if (!sound) return "an answer that can't be read";
        if (!fits) return "a list that is too long";
        if (!readable) return "a list that can't be read";
        if (http.done()) {
            const std::string rest = lines.rest();
            if (!rest.empty()) heard = take(rest);
            return "the answer's end";
        }
        if (steady_clock::now() - last_line > patience_.whole_line) return "no whole line in time";
    }
}

bool DiscoveryWatch::take(std::string_view line) {
    if (line.find_first_not_of(" \t") == std::string_view::npos) return true;
    auto said = reader_.read(line);
    if (!said) return false;
    if (said->list.form == event::List::Form::complete || said->version > version_) version_ = said->version;
    inbox_.put(arrival::ListTold{std::move(*said)});
    return true;
}

}  // namespace micaroad::net
