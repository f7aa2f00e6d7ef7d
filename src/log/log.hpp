/// The program's log: lines of text to a file descriptor, in the form
///
///     2026-12-02T14:12:40.123Z warn component: event key=value key="free text"
///
/// Guards against a log that slows the program down or fills the disk: writing a line never blocks
/// its caller, as a thread of the log's own does the output; lines that find no room are counted;
/// and lines of one format string are limited to a number in a time. What was left out is said in
/// the log itself.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace micaroad {

/// Any thread may write lines. A line is queued, and written soon after.
class Log {
 public:
    /// Does not own `fd`, which must stay open as long as the log lives.
    explicit Log(int fd);
    /// Writes what is queued first, unless the reader of `fd` has stopped reading.
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    template <class... Args>
    void info(fmt::format_string<Args...> format, Args&&... args) {
        write("info", fmt::string_view(format), fmt::make_format_args(args...));
    }
    template <class... Args>
    void warn(fmt::format_string<Args...> format, Args&&... args) {
        write("warn", fmt::string_view(format), fmt::make_format_args(args...));
    }
    template <class... Args>
    void error(fmt::format_string<Args...> format, Args&&... args) {
        write("error", fmt::string_view(format), fmt::make_format_args(args...));
    }

 private:
    static constexpr std::size_t kMaxQueuedLines = 1000;
    // Of one format string; past that number lines are suppressed until the interval has passed.
    static constexpr int kMaxRepeatedLines = 100;
    static constexpr std::chrono::seconds kRepeatInterval{10};

    // The lines of one format string since `since`.
    struct RepeatedLines {
        std::chrono::steady_clock::time_point since;
        int count = 0;
        int suppressed = 0;
    };

    void write(const char* level, fmt::string_view format, fmt::format_args args);
    [[nodiscard]] bool is_within_rate(fmt::string_view format);
    void enqueue(const char* level, const std::string& text);
    void run_writer();
    [[nodiscard]] std::string take_queued();
    [[nodiscard]] bool write_all(std::string_view text);

    const int fd_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::string> queue_;
    // By the address of the format string: there are as many as calls in the code.
    std::map<const char*, RepeatedLines> repeated_;
    std::uint64_t lost_ = 0;  // lines that found the queue full
    bool ending_ = false;
    std::thread writer_;  // last: it uses all of the above
};

}  // namespace micaroad
