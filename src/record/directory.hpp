/// The directory that keeps a recording's segments: an interface with the few operations that
/// recordings need, so that tests can make each of them fail, and its implementation on the file
/// system. Implementations need not be safe for calls by several threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::record {

class Directory {
 public:
    /// A file that is open for appending; the destructor closes it.
    class File {
     public:
        virtual ~File() = default;
        /// Blocks until all bytes are written. False on failure: some of them, or none, were.
        [[nodiscard]] virtual bool append(std::string_view bytes) = 0;
        /// Blocks until what was appended is on the storage device. False on failure.
        [[nodiscard]] virtual bool sync() = 0;
    };

    struct Entry {
        std::string name;
        std::uint64_t bytes = 0;
    };

    virtual ~Directory() = default;

    /// A new, empty file. Null on failure, which includes that the file exists.
    [[nodiscard]] virtual std::unique_ptr<File> create(const std::string& name) = 0;
    /// False on failure, which includes that there is no such file.
    [[nodiscard]] virtual bool remove(const std::string& name) = 0;
    /// All files in the order of their names; empty on failure.
    [[nodiscard]] virtual std::vector<Entry> list() = 0;
    /// Up to `max_bytes` from `offset` on. Empty at the end of the file, absent on failure.
    [[nodiscard]] virtual std::optional<std::string> read(const std::string& name,
                                                          std::uint64_t offset,
                                                          std::size_t max_bytes) = 0;
};

/// A directory of the file system, created if it does not exist. If that fails, each operation on
/// the result fails.
[[nodiscard]] std::unique_ptr<Directory> open_directory(const std::string& path);

}  // namespace micaroad::record
