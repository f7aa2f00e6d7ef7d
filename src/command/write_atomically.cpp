#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "command/command.hpp"

namespace micaroad::command {

bool write_atomically(const std::string& path, const std::string& text, std::string& why) {
    const std::string beside = fmt::format("{}.{}.part", path, ::getpid());
    const auto failed = [&](const char* what) {
        why = fmt::format("{}: {}: {}", path, what, std::strerror(errno));
        ::unlink(beside.c_str());
        return false;
    };
    const int file = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (file < 0) {
        return failed("can't be written");
    }
    // What stood there keeps its permissions.
    struct stat old{};
    if (::stat(path.c_str(), &old) == 0) {
        (void)::fchmod(file, old.st_mode & 07777);
    }
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t n = ::write(file, text.data() + written, text.size() - written);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return ::close(file), failed("can't be written");
        }
        written += static_cast<std::size_t>(n);
    }
    if (::fsync(file) != 0) {
        return ::close(file), failed("can't be kept");
    }
    if (::close(file) != 0) {
        return failed("can't be kept");
    }
    if (::rename(beside.c_str(), path.c_str()) != 0) {
        return failed("can't be put in place");
    }
    return true;
}

}  // namespace micaroad::command
