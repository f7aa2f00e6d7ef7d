#include "log/log.hpp"

#include <fmt/chrono.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace micaroad {
namespace {

std::string timestamp() {
    using std::chrono::milliseconds;
    using std::chrono::system_clock;
    constexpr int kMillisecondsPerSecond = 1000;
    const auto now = std::chrono::time_point_cast<milliseconds>(system_clock::now());
    const auto fraction = now.time_since_epoch().count() % kMillisecondsPerSecond;
    const std::time_t second = system_clock::to_time_t(now);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(second), fraction);
}

}  // namespace

Log::Log(int fd) : fd_(fd), writer_([this] { run_writer(); }) {}

Log::~Log() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    writer_.join();
}

void Log::write(const char* level, fmt::string_view format, fmt::format_args args) {
    const std::lock_guard lock(mutex_);
    if (is_within_rate(format)) {
        enqueue(level, fmt::vformat(format, args));
    }
}

// Counts the line and returns whether it is within the rate limit. Before the first line after an
// interval, logs the number of lines suppressed in that interval.
bool Log::is_within_rate(fmt::string_view format) {
    const auto now = std::chrono::steady_clock::now();
    RepeatedLines& repeated = repeated_lines_[format.data()];
    const auto elapsed = now - repeated.since;
    if (elapsed >= kRepeatInterval) {
        if (repeated.suppressed > 0) {
            enqueue("info", fmt::format("log: repeated lines suppressed count={} seconds={:.0f} "
                                        "like=\"the next line\"",
                                        repeated.suppressed,
                                        std::chrono::duration<double>(elapsed).count()));
        }
        repeated = {now, 0, 0};
    }
    ++repeated.count;
    if (repeated.count > kMaxRepeatedLines) {
        ++repeated.suppressed;
        return false;
    }
    return true;
}

void Log::enqueue(const char* level, const std::string& text) {
    if (queue_.size() == kMaxQueuedLines) {
        ++dropped_lines_;
        return;
    }
    queue_.push_back(fmt::format("{} {} {}\n", timestamp(), level, text));
    wake_.notify_one();
}

void Log::run_writer() {
    std::unique_lock lock(mutex_);
    while (!stopping_ || !queue_.empty()) {
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        const std::string text = take_queued();
        lock.unlock();
        const bool written = write_all(text);
        lock.lock();
        if (!written) {
            return;
        }
    }
}

// The caller holds the mutex.
std::string Log::take_queued() {
    std::string text;
    for (const std::string& line : std::exchange(queue_, {})) {
        text += line;
    }
    if (dropped_lines_ > 0) {
        text += fmt::format("{} warn log: lines lost count={} reason=\"the output was too slow\"\n",
                            timestamp(), std::exchange(dropped_lines_, 0));
    }
    return text;
}

// Returns false if the log is ending and the reader of the output has stopped reading.
bool Log::write_all(std::string_view text) {
    constexpr int kPollMilliseconds = 100;
    while (!text.empty()) {
        pollfd ready{fd_, POLLOUT, 0};
        if (::poll(&ready, 1, kPollMilliseconds) == 0) {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return false;
            }
            continue;
        }
        // A pipe that is ready for writing accepts this many bytes without blocking.
        const std::size_t size = std::min<std::size_t>(text.size(), PIPE_BUF);
        const ssize_t written = ::write(fd_, text.data(), size);
        if (written <= 0) {
            return true;  // the output failed permanently, and there is no other place to report it
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

}  // namespace micaroad
