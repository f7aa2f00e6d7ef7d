/// The program's log. It writes lines of text to a file descriptor, in the form
///
///     2026-12-02T14:12:40.123Z warn component: event key=value key="free text"
///
/// Guards against a log that slows the program down or fills the disk. Logging a line never blocks
/// the caller, as a separate thread writes the output. Lines that arrive while the queue is full
/// are dropped and counted. Lines of one format string are limited in rate. The log itself reports
/// the number of dropped and suppressed lines.
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

/// Any thread may log lines. A line is queued and written asynchronously.
class Log {
 public:
    /// Does not own `fd`, which must stay open until the log is destroyed.
    explicit Log(int fd);
    /// Writes the queued lines first, unless the reader of `fd` has stopped reading.
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
    // The lines of one format string within kRepeatInterval; further ones are suppressed.
    static constexpr int kMaxRepeatedLines = 100;
    static constexpr std::chrono::seconds kRepeatInterval{10};

    // The numbers of lines of one format string in the interval that began at `since`.
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
    // By the address of the format string, so there are as many entries as log calls in the code.
    std::map<const char*, RepeatedLines> repeated_lines_;
    std::uint64_t dropped_lines_ = 0;  // lines dropped because the queue was full
    bool stopping_ = false;
    std::thread writer_;  // last, as it uses all members above
};

}  // namespace micaroad
