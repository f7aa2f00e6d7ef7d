#include "log/log.hpp"

#include <fmt/chrono.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace micaroad {

Log::Log(int fd) : fd_(fd), writer_([this] { run(); }) {}

Log::~Log() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    wake_.notify_one();
    writer_.join();
}

void Log::say(const char* level, fmt::string_view form, fmt::format_args args) {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    Alike& alike = alike_[form.data()];
    if (now - alike.since >= kAlikeSpan) {
        if (alike.swallowed > 0) {
            put("info", fmt::format("{} more like the next in {:.0f} s", alike.swallowed,
                                    std::chrono::duration<double>(now - alike.since).count()));
        }
        alike = {now, 0, 0};
    }
    if (++alike.said > kMostAlike) {
        return (void)++alike.swallowed;
    }
    put(level, fmt::vformat(form, args));
}

void Log::put(const char* level, std::string text) {
    if (waiting_.size() == kMostWaiting) {
        return (void)++lost_;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto ms = now.time_since_epoch().count() % 1000;
    const std::time_t second = std::chrono::system_clock::to_time_t(now);
    waiting_.push_back(
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}\n", fmt::gmtime(second), ms, level, text));
    wake_.notify_one();
}

// False if the reader of the log has stopped reading while the log is to end.
bool Log::write_out(std::string_view rest) {
    constexpr int kWaitMs = 100;
    while (!rest.empty()) {
        pollfd ready{fd_, POLLOUT, 0};
        if (::poll(&ready, 1, kWaitMs) == 0) {
            const std::lock_guard lock(mutex_);
            if (ending_) {
                return false;
            }
            continue;
        }
        // A pipe that is ready takes this many at once.
        const ssize_t wrote =
            ::write(fd_, rest.data(), std::min<std::size_t>(rest.size(), PIPE_BUF));
        if (wrote <= 0) {
            return true;  // nobody will ever read it: nothing else can be done
        }
        rest.remove_prefix(static_cast<std::size_t>(wrote));
    }
    return true;
}

void Log::run() {
    std::unique_lock lock(mutex_);
    while (!ending_ || !waiting_.empty()) {
        wake_.wait(lock, [this] { return ending_ || !waiting_.empty(); });
        std::string text;
        for (const std::string& line : std::exchange(waiting_, {})) {
            text += line;
        }
        if (lost_ > 0) {
            text += fmt::format("{} log lines lost: the output was too slow\n",
                                std::exchange(lost_, 0));
        }
        lock.unlock();
        const bool all = write_out(text);
        lock.lock();
        if (!all) {
            return;
        }
    }
}

}  // namespace micaroad
