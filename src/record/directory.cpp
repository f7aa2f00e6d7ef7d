#include "record/directory.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

namespace micaroad::record {
namespace {

namespace fs = std::filesystem;

constexpr int kFileMode = 0640;

// Owns a file descriptor and closes it in the destructor.
class OwnedDescriptor {
 public:
    explicit OwnedDescriptor(int fd) : fd_(fd) {}
    ~OwnedDescriptor() {
        if (is_open()) {
            ::close(fd_);
        }
    }
    OwnedDescriptor(const OwnedDescriptor&) = delete;
    OwnedDescriptor& operator=(const OwnedDescriptor&) = delete;

    [[nodiscard]] bool is_open() const { return fd_ >= 0; }
    [[nodiscard]] int get() const { return fd_; }

 private:
    const int fd_;
};

class SystemFile : public Directory::File {
 public:
    explicit SystemFile(int fd) : descriptor_(fd) {}

    [[nodiscard]] bool append(std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t written = ::write(descriptor_.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    [[nodiscard]] bool sync() override { return ::fdatasync(descriptor_.get()) == 0; }

 private:
    const OwnedDescriptor descriptor_;
};

class SystemDirectory : public Directory {
 public:
    explicit SystemDirectory(fs::path path) : path_(std::move(path)) {
        std::error_code ignored;  // later operations on the directory fail
        fs::create_directories(path_, ignored);
    }

    [[nodiscard]] std::unique_ptr<File> create(const std::string& name) override {
        const int fd = ::open((path_ / name).c_str(),
                              O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, kFileMode);
        return fd < 0 ? nullptr : std::make_unique<SystemFile>(fd);
    }

    [[nodiscard]] bool remove(const std::string& name) override {
        return ::unlink((path_ / name).c_str()) == 0;
    }

    [[nodiscard]] std::vector<Entry> list() override {
        std::vector<Entry> entries;
        std::error_code ignored;  // files that vanish, or a missing directory, are not listed
        for (const auto& entry : fs::directory_iterator(path_, ignored)) {
            if (entry.is_regular_file(ignored)) {
                entries.push_back({entry.path().filename().string(), entry.file_size(ignored)});
            }
        }
        std::sort(entries.begin(), entries.end(),
                  [](const Entry& left, const Entry& right) { return left.name < right.name; });
        return entries;
    }

    [[nodiscard]] std::optional<std::string> read(const std::string& name, std::uint64_t offset,
                                                  std::size_t max_bytes) override {
        const OwnedDescriptor descriptor(::open((path_ / name).c_str(), O_RDONLY | O_CLOEXEC));
        if (!descriptor.is_open()) {
            return std::nullopt;
        }
        std::string bytes(max_bytes, '\0');
        ssize_t length = 0;
        do {
            length = ::pread(descriptor.get(), bytes.data(), max_bytes, static_cast<off_t>(offset));
        } while (length < 0 && errno == EINTR);
        if (length < 0) {
            return std::nullopt;
        }
        bytes.resize(static_cast<std::size_t>(length));
        return bytes;
    }

 private:
    const fs::path path_;
};

}  // namespace

std::unique_ptr<Directory> open_directory(const std::string& path) {
    return std::make_unique<SystemDirectory>(path);
}

}  // namespace micaroad::record
