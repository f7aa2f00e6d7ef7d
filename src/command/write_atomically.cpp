#include "command/write_atomically.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string_view>
#include <utility>

namespace micaroad::command {
namespace {

constexpr mode_t kNewFileMode = 0644;
constexpr mode_t kPermissionBits = 07777;

// A temporary file in the directory of the target, removed on destruction unless it was renamed.
// Its functions return false with errno set on failure.
class TemporaryFile {
 public:
    explicit TemporaryFile(std::string path) : path_(std::move(path)) {}
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    ~TemporaryFile() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
        if (!renamed_) {
            ::unlink(path_.c_str());
        }
    }

    bool open() {
        constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
        descriptor_ = ::open(path_.c_str(), kFlags, kNewFileMode);
        return descriptor_ >= 0;
    }

    // If this fails, the file keeps the permissions of a new file.
    void copy_permissions(const std::string& other) const {
        struct stat status{};
        if (::stat(other.c_str(), &status) == 0) {
            static_cast<void>(::fchmod(descriptor_, status.st_mode & kPermissionBits));
        }
    }

    bool write(std::string_view text) const {
        while (!text.empty()) {
            const ssize_t written = ::write(descriptor_, text.data(), text.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    bool sync_and_close() {
        if (::fsync(descriptor_) != 0) {
            return false;
        }
        return ::close(std::exchange(descriptor_, -1)) == 0;
    }

    bool rename(const std::string& wanted) {
        renamed_ = ::rename(path_.c_str(), wanted.c_str()) == 0;
        return renamed_;
    }

 private:
    const std::string path_;
    int descriptor_ = -1;
    bool renamed_ = false;
};

}  // namespace

std::string describe(const WriteError& error) {
    const char* what = "";
    switch (error.step) {
        case WriteError::Step::write:
            what = "can't be written";
            break;
        case WriteError::Step::sync:
            what = "can't be synced to disk";
            break;
        case WriteError::Step::rename:
            what = "can't be renamed";
            break;
    }
    return fmt::format("{}: {}: {}", error.path, what, std::strerror(error.error_number));
}

tl::expected<void, WriteError> write_atomically(const std::string& path, const std::string& text) {
    using Step = WriteError::Step;
    const auto failure = [&path](Step step) {
        return tl::unexpected(WriteError{path, step, errno});
    };
    TemporaryFile file(fmt::format("{}.{}.part", path, ::getpid()));
    if (!file.open()) {
        return failure(Step::write);
    }
    file.copy_permissions(path);
    if (!file.write(text)) {
        return failure(Step::write);
    }
    if (!file.sync_and_close()) {
        return failure(Step::sync);
    }
    if (!file.rename(path)) {
        return failure(Step::rename);
    }
    return {};
}

}  // namespace micaroad::command
