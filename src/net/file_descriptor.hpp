/// Ownership of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace micaroad::net {

/// Owns a file descriptor and closes it on destruction; -1 means none.
class FileDescriptor {
 public:
    FileDescriptor() = default;
    explicit FileDescriptor(int fd) : fd_(fd) {}
    FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor() {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    [[nodiscard]] bool is_open() const { return fd_ >= 0; }
    [[nodiscard]] int get() const { return fd_; }

 private:
    int fd_ = -1;
};

}  // namespace micaroad::net
