#include "record/disk.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace micaroad::record {
namespace {

namespace fs = std::filesystem;

class FolderFile : public Disk::File {
 public:
    explicit FolderFile(int fd) : fd_(fd) {}
    ~FolderFile() override { ::close(fd_); }
    bool append(std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    bool sync() override { return ::fdatasync(fd_) == 0; }

 private:
    const int fd_;
};

class Folder : public Disk {
 public:
    explicit Folder(fs::path path) : path_(std::move(path)) {
        std::error_code failed;
        fs::create_directories(path_, failed);
    }
    std::unique_ptr<File> create(const std::string& name) override {
        const int fd = ::open((path_ / name).c_str(),
                              O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0640);
        return fd < 0 ? nullptr : std::make_unique<FolderFile>(fd);
    }
    bool remove(const std::string& name) override { return ::unlink((path_ / name).c_str()) == 0; }
    std::vector<Entry> list() override {
        std::vector<Entry> entries;
        std::error_code failed;
        for (const auto& entry : fs::directory_iterator(path_, failed)) {
            if (entry.is_regular_file(failed)) {
                entries.push_back({entry.path().filename().string(), entry.file_size(failed)});
            }
        }
        std::sort(entries.begin(), entries.end(),
                  [](const Entry& a, const Entry& b) { return a.name < b.name; });
        return entries;
    }
    std::optional<std::string> read(const std::string& name, std::uint64_t from,
                                    std::size_t most) override {
        const int fd = ::open((path_ / name).c_str(), O_RDONLY | O_CLOEXEC);
        if (fd < 0) {
            return std::nullopt;
        }
        std::string bytes(most, '\0');
        ssize_t n;
        do {
            n = ::pread(fd, bytes.data(), most, static_cast<off_t>(from));
        } while (n < 0 && errno == EINTR);
        ::close(fd);
        if (n < 0) {
            return std::nullopt;
        }
        bytes.resize(static_cast<std::size_t>(n));
        return bytes;
    }

 private:
    const fs::path path_;
};

}  // namespace

std::unique_ptr<Disk> folder(const std::string& path) {
    return std::make_unique<Folder>(path);
}

}  // namespace micaroad::record
