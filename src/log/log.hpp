// Log lines to a file descriptor. Writing one never blocks its writer: a thread of the log's own
// does the output, and what doesn't fit is counted. A line that comes too often is said a few
// times, then summed up.
#pragma once

#include <fmt/format.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace micaroad {

class Log {
 public:
    explicit Log(int fd);
    ~Log();  // what was said is written first
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    template <class... Args>
    void info(fmt::format_string<Args...> form, Args&&... args) {
        say("info", fmt::string_view(form), fmt::make_format_args(args...));
    }
    template <class... Args>
    void warn(fmt::format_string<Args...> form, Args&&... args) {
        say("warn", fmt::string_view(form), fmt::make_format_args(args...));
    }
    template <class... Args>
    void error(fmt::format_string<Args...> form, Args&&... args) {
        say("error", fmt::string_view(form), fmt::make_format_args(args...));
    }

 private:
    static constexpr std::size_t kMostWaiting = 1000;  // lines
    static constexpr int kMostAlike = 100;             // in a span, of one form
    static constexpr std::chrono::seconds kAlikeSpan{10};
    struct Alike {
        std::chrono::steady_clock::time_point since;
        int said = 0, swallowed = 0;
    };

    void say(const char* level, fmt::string_view form, fmt::format_args args);
    void put(const char* level, std::string text);
    bool write_out(std::string_view text);
    void run();

    const int fd_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::string> waiting_;
    std::map<const char*, Alike>
        alike_;  // by the form's place: there are as many as calls in the code
    std::uint64_t lost_ = 0;
    bool ending_ = false;
    std::thread writer_;
};

}  // namespace micaroad
